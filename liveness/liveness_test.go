package liveness

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
)

// bounds are those of the users' platform.
func bounds() Bounds {
	return Bounds{
		Answer: 800 * time.Millisecond, Race: 100 * time.Millisecond, Retry: 800 * time.Millisecond, MaxRetry: 4 * time.Second,
		Close: 8 * time.Second,
	}
}

// TestStates follows one connection through the states, with times in milliseconds.
func TestStates(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	suspect := Path{}.WithSuspicion(bounds(), at(800), 0)
	opened := suspect.WithOpening(bounds(), at(900), 0)
	for _, c := range []struct {
		name  string
		path  Path
		asked time.Time
		now   int
		want  State
	}{
		{"no question", Path{}, time.Time{}, 10_000, Fresh},
		{"answer may still come", Path{}, at(0), 800, Fresh},
		{"answer is overdue", Path{}, at(0), 801, Suspect},
		{"just suspect", suspect, at(0), 899, Suspect},
		{"suspect for long enough", suspect, at(0), 900, Replace},
		{"new one opened", opened, at(0), 1699, Suspect},
		{"new one without an answer", opened, at(0), 1700, Replace},
		{"nothing for too long", opened, at(0), 8001, Dead},
		{"answered", opened.WithAnswer(), time.Time{}, 8001, Fresh},
		{"suspect for another reason, then asked again", suspect, time.Time{}, 9000, Replace},
	} {
		if got := c.path.State(bounds(), c.asked, at(c.now)); got != c.want {
			t.Errorf("%s: got state %d, want %d", c.name, got, c.want)
		}
	}
}

// TestOpeningsAreBounded checks that however long a connection stays suspect and whenever its state is looked at, no more than
// six new ones are opened beside it in the first ten seconds and one in each MaxRetry after them.
func TestOpeningsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, start := bounds(), time.Unix(1000, 0)
		jitter := rapid.Float64Range(0, 1)
		p := Path{}.WithSuspicion(b, start, jitter.Draw(t, "jitter"))
		early, late := 0, 0
		for now := start; now.Before(start.Add(50 * time.Second)); now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond) {
			if p.State(b, time.Time{}, now) != Replace {
				continue
			}
			p = p.WithOpening(b, now, jitter.Draw(t, "jitter"))
			if now.Sub(start) < 10*time.Second {
				early++
			} else {
				late++
			}
		}
		if got, limit := early, 6; got > limit {
			t.Errorf("openings in the first 10 s: got %d, want at most %d", got, limit)
		}
		if got, limit := late, int(40*time.Second/b.MaxRetry)+1; got > limit {
			t.Errorf("openings in the next 40 s: got %d, want at most %d", got, limit)
		}
	})
}

// TestStateChangesOnlyWhenDue checks that before the time that Next returns the state stays as it is, unless the connection
// becomes Dead: whoever sleeps until then misses nothing.
func TestStateChangesOnlyWhenDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, start := bounds(), time.Unix(1000, 0)
		asked := start.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "asked")) * time.Millisecond)
		p := Path{}
		if rapid.Bool().Draw(t, "suspect") {
			p = p.WithSuspicion(b, start, rapid.Float64Range(0, 1).Draw(t, "jitter"))
		}
		next := p.Next(b, asked)
		before := start.Add(time.Duration(rapid.Int64Range(0, max(1, int64(next.Sub(start)))).Draw(t, "before")))
		if before.After(next) {
			return
		}
		now := p.State(b, asked, start)
		if got := p.State(b, asked, before); before.Before(next) && got != now {
			t.Errorf("state %v after the start, due after %v: got %d, want %d", before.Sub(start), next.Sub(start), got, now)
		}
	})
}

// TestBadBounds checks that bounds which contradict each other are refused by name.
func TestBadBounds(t *testing.T) {
	for _, c := range []struct {
		change func(*Bounds)
		field  string
	}{
		{func(b *Bounds) { b.Answer = 0 }, "liveness.answer"},
		{func(b *Bounds) { b.Race = -time.Second }, "liveness.race"},
		{func(b *Bounds) { b.Retry = 0 }, "liveness.retry"},
		{func(b *Bounds) { b.MaxRetry = b.Retry - 1 }, "liveness.max_retry"},
		{func(b *Bounds) { b.Close = b.Answer }, "liveness.close"},
	} {
		b := bounds()
		c.change(&b)
		err := b.Validate()
		if got, want := fault.CodeOf(err), fault.BadSetting; got != want || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: got %v, want %s that names it", c.field, err, want)
		}
	}
	if err := bounds().Validate(); err != nil {
		t.Errorf("valid bounds: got %v, want none", err)
	}
}
