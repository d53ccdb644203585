package egress

import (
	"context"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// TestSuspendedHostGivesNoMoreTime has the host suspended while a request waits for a slot. Its deadline counts by a clock that stands
// still meanwhile: the endpoint was told of time that its caller had no longer.
func TestSuspendedHostGivesNoMoreTime(t *testing.T) {
	const suspended = 3 * time.Second
	lost := time.Duration(0)
	c := clock.Clock(func() time.Time { return time.Now().Add(lost) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	watch := c.StartStopwatch()
	same, done := withoutSuspended(ctx, watch)
	defer done()
	if same != ctx {
		t.Error("deadline of a request on a host that runs: got another, want the same")
	}
	lost = suspended
	next, done := withoutSuspended(ctx, watch)
	defer done()
	was, _ := ctx.Deadline()
	is, _ := next.Deadline()
	if got, want := was.Sub(is).Round(100*time.Millisecond), suspended; got != want {
		t.Errorf("deadline brought forward by: got %v, want %v", got, want)
	}
}
