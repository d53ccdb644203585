package soak

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
)

// TestClosesAreJudgedByWrites guards against a node that is blamed for a request which its caller had not written before the
// node was killed, and against one that is not blamed for a request which had lain there for seconds.
func TestClosesAreJudgedByWrites(t *testing.T) {
	kill := time.Unix(1000, 0)
	for _, c := range []struct {
		name        string
		sent, wrote time.Duration
		never       bool
		broken      bool
	}{
		{"written at once", 3 * time.Second, 3 * time.Second, false, true},
		{"written late, still long before the kill", 3 * time.Second, crossing, false, true},
		{"written just before the kill", 3 * time.Second, crossing - 1, false, false},
		{"never written", 3 * time.Second, 0, true, false},
	} {
		r := &run{
			fleet: &demo.Fleet{Members: []*demo.Member{{Host: "h1", Callers: "127.0.0.1:1"}}},
			stops: []stopped{{from: kill.Add(-5 * time.Second), until: kill, kill: kill}},
		}
		closed := demo.Close{Node: "127.0.0.1:1", Sent: kill.Add(-c.sent), Wrote: kill.Add(-c.wrote), At: kill.Add(time.Millisecond)}
		if c.never {
			closed.Wrote = time.Time{}
		}
		r.report.Results = []demo.Result{{Call: "payment-1", Closes: []demo.Close{closed}}}
		r.judgeStops()
		if got := strings.Contains(strings.Join(r.report.Broken, " "), "payment-1"); got != c.broken {
			t.Errorf("%s: got broken %v (%q), want %v", c.name, got, r.report.Broken, c.broken)
		}
	}
}

// TestHeldAnswersAreFound checks that the verdict on answers that a node held until it was killed can fail.
func TestHeldAnswersAreFound(t *testing.T) {
	kill := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		// finished is how long before the kill the endpoint had answered; started is how often it had begun.
		finished time.Duration
		started  int
		// sent is how long before the kill the request was sent.
		sent              time.Duration
		behind, suspended bool
		// halved is set if an endpoint broke off its answer to the first request on the connection, partial if a part of that had come.
		halved, partial bool
		broken          bool
	}{
		{name: "answered long before the kill", finished: crossing, started: 1, broken: true},
		{name: "answered just before the kill", finished: crossing - time.Millisecond, started: 1},
		{name: "sent in the later half of the grace", sent: stopGrace/2 - time.Millisecond, finished: time.Millisecond, started: 1, broken: true},
		{name: "sent at half of the grace", sent: stopGrace / 2, finished: time.Millisecond, started: 1},
		{name: "at work once more", finished: crossing, started: 2},
		{name: "answered, the node was suspended", finished: crossing, started: 1, suspended: true},
		{name: "never begun", broken: true},
		{name: "never begun, behind another request", behind: true},
		{name: "answered long before the kill, behind another request", finished: crossing, started: 1, behind: true, broken: true},
		{name: "its endpoint broke off the answer", finished: crossing, started: 1, halved: true, partial: true},
		{name: "behind an answer that its endpoint broke off", finished: crossing, started: 1, behind: true, halved: true, partial: true},
		{name: "its endpoint broke off another answer", finished: crossing, started: 1, halved: true, broken: true},
		{name: "cut in the middle", finished: crossing, started: 1, partial: true, broken: true},
	} {
		r := &run{
			fleet: &demo.Fleet{Members: []*demo.Member{{Host: "h1", Callers: "127.0.0.1:1"}}},
			stops: []stopped{{from: kill.Add(-stopGrace), until: kill, kill: kill, suspended: c.suspended}},
		}
		wrote := kill.Add(-cmp.Or(c.sent, 2*time.Second))
		closed := demo.Close{Node: "127.0.0.1:1", Partial: c.partial, Sent: wrote, Wrote: wrote, At: kill.Add(time.Millisecond)}
		first := "lookup-1"
		if c.behind {
			first = "lookup-0"
			closed.First = first
		}
		r.report.Results = []demo.Result{{Call: "lookup-1", Closes: []demo.Close{closed}}}
		record := backend.Run{Started: c.started}
		if c.started > 0 {
			record.Finished, record.FinishedMillis = 1, kill.Add(-c.finished).UnixMilli()
		}
		records := map[string]backend.Run{"lookup-1": record}
		if c.halved {
			cut := records[first]
			cut.Halved = 1
			records[first] = cut
		}
		r.report.Records = []map[string]backend.Run{records}
		r.judgeStops()
		if got := len(r.report.Broken) > 0; got != c.broken {
			t.Errorf("%s: got broken %v (%q), want %v", c.name, got, r.report.Broken, c.broken)
		}
	}
}
