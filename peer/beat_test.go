package peer

import (
	"testing"
	"time"
)

// TestTimeToNextBeat checks the time to the next heartbeat of a link, with a heartbeat interval of 100 ms.
func TestTimeToNextBeat(t *testing.T) {
	start := time.Unix(1000, 0)
	ms := func(n int64) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for _, c := range []struct {
		name               string
		sent, busy, proven int64
		inFlight           int64
		suspect, urgent    bool
		pinned             bool
		now                int64
		want               time.Duration
	}{
		{name: "idle and pinned", pinned: true, now: 100, want: 700 * time.Millisecond},
		{name: "idle and pinned, overdue", pinned: true, now: 900, want: -100 * time.Millisecond},
		{name: "idle", now: 100, want: 1500 * time.Millisecond},
		{name: "idle, overdue", now: 1700, want: -100 * time.Millisecond},
		{name: "first request after an idle time", busy: 600, inFlight: 1, now: 600, want: 100 * time.Millisecond},
		{name: "in-flight request, no answered offer", busy: 0, inFlight: 1, now: 150, want: -50 * time.Millisecond},
		{name: "in-flight requests, answered offer", busy: 0, proven: 120, inFlight: 2, now: 150, want: 70 * time.Millisecond},
		{name: "pinned, offers always answered", pinned: true, proven: 790, inFlight: 1, now: 795, want: 5 * time.Millisecond},
		{name: "offers always answered", proven: 1590, inFlight: 1, now: 1595, want: 5 * time.Millisecond},
		{name: "suspect, earlier answered offer", proven: 120, inFlight: 1, suspect: true, now: 150, want: -50 * time.Millisecond},
		{name: "urgent", urgent: true, now: 1, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Session{m: &Manager{cfg: Config{Heartbeat: 100 * time.Millisecond}}}
			s.busyAt.Store(ms(c.busy).UnixNano())
			s.answeredAt.Store(ms(c.proven).UnixNano())
			s.inFlight.Store(c.inFlight)
			s.suspect.Store(c.suspect)
			s.urgent.Store(c.urgent)
			s.pinned.Store(c.pinned)
			if got := s.timeToNextBeat(ms(c.sent), ms(c.now)); got != c.want {
				t.Errorf("time to the next heartbeat: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestAnsweredOfferCountsAsEcho checks that an answered offer clears a pending heartbeat that was sent before the
// offer, but not one that was sent after it.
func TestAnsweredOfferCountsAsEcho(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		offered time.Duration
		want    uint64
	}{{time.Millisecond, 0}, {-time.Millisecond, 3}} {
		s := &Session{pending: 3, pendingAt: start}
		s.recordAnsweredOffer(start.Add(c.offered))
		if got := s.pending; got != c.want {
			t.Errorf("pending heartbeat with an offer made %v after it: got %d, want %d", c.offered, got, c.want)
		}
	}
}
