package director

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// TestRestartedNodeDoesNotForgetRate guards against a rate that is forgotten by the senders because the endpoint's node was
// restarted: a node that knows nothing of the rate changes nothing, nor does a statement that is older than the one known.
func TestRestartedNodeDoesNotForgetRate(t *testing.T) {
	now := time.Now()
	micros := func(age time.Duration) *int64 {
		m := age.Microseconds()
		return &m
	}
	target := newTarget()
	for _, c := range []struct {
		name string
		load *peerpb.Load
		// want is the rate that is told afterwards, -1 for none; age is the least age that is told.
		want float64
		age  time.Duration
	}{
		{"stated", &peerpb.Load{MaxRate: &peerpb.MaxRate{Rate: 2}, StatementAgeMicros: micros(time.Second)}, 2, time.Second},
		{"not known", &peerpb.Load{}, 2, time.Second},
		{"earlier statement", &peerpb.Load{MaxRate: &peerpb.MaxRate{Rate: 9}, StatementAgeMicros: micros(time.Minute)}, 2, time.Second},
		{"none stated", &peerpb.Load{StatementAgeMicros: micros(0)}, -1, 0},
	} {
		target.applyLoad(now, c.load)
		rate, age := target.statement(now)
		if got := rate; got == nil && c.want >= 0 || got != nil && *got != c.want {
			t.Errorf("%s: rate: got %v, want %v", c.name, got, c.want)
		}
		if age == nil || time.Duration(*age)*time.Microsecond < c.age {
			t.Errorf("%s: age: got %v, want at least %v", c.name, age, c.age)
		}
	}
}
