package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/demo"
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
