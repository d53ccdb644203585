package egress

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
	"github.com/lynxplank/lynxplank/slotuse"
	"github.com/lynxplank/lynxplank/upstream"
)

// slotSeconds are the slot seconds of one breaker state in event 419.
type slotSeconds struct{ Working, Late, Idle, Grant float64 }

// slotLine is event 419.
type slotLine struct {
	Endpoint, Service string
	For               float64
	Slots             int
	Closed, Open      slotSeconds
	Waiting           float64
	Routes            []struct {
		Route         string
		Working, Late float64
	}
}

func lastSlotLine(t *testing.T, log *logBuffer) (line slotLine) {
	t.Helper()
	lines := log.lines("419")
	if len(lines) == 0 {
		t.Fatal("got no line on slots, want one")
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &line); err != nil {
		t.Fatal(err)
	}
	return line
}

// TestSlotUseIsLogged has lookups hold all slots of an endpoint that hangs while another one waits, and checks that the
// line accounts for all slot time, most of it as late while the breaker is open, and that an idle endpoint has no line.
func TestSlotUseIsLogged(t *testing.T) {
	h := new(hangingEndpoint)
	e, _, log := startHanging(t, true, h)
	e.LogSlotUse()
	if line := lastSlotLine(t, log); line.Endpoint != "e1" || line.Service != "desk" || line.Slots != testSlots || line.Closed.Working == 0 {
		t.Errorf("while it answers: got %+v, want work at e1 of desk, %d slots", line, testSlots)
	}
	e.LogSlotUse()
	if got, want := len(log.lines("419")), 1; got != want {
		t.Errorf("lines after an idle window: got %d, want %d", got, want)
	}
	unrepeatable := lookup()
	unrepeatable.Repeatable = false
	occupy(t, h, func(ctx context.Context) *peerpb.End {
		return e.Serve(ctx, unrepeatable, strings.NewReader(""), discardSink{})
	})
	// With less time left the lookup would not wait behind runs that are overdue by 400 ms.
	serveFor(t, e, lookup(), 2*time.Second)
	e.LogSlotUse()
	line := lastSlotLine(t, log)
	total := line.Closed.Working + line.Closed.Late + line.Closed.Idle + line.Closed.Grant +
		line.Open.Working + line.Open.Late + line.Open.Idle + line.Open.Grant
	if want := line.For / 1e3 * testSlots; math.Abs(total-want) > 0.01 {
		t.Errorf("slot seconds: got %v, want %v in %+v", total, want, line)
	}
	if got, limit := line.Open.Late, 1.0; got < limit {
		t.Errorf("late slot seconds with an open breaker: got %v, want at least %v", got, limit)
	}
	if line.Waiting == 0 {
		t.Errorf("waiting seconds: got 0, want more")
	}
	if len(line.Routes) != 1 || line.Routes[0].Route != "r" || math.Abs(line.Routes[0].Late-line.Open.Late-line.Closed.Late) > 0.01 {
		t.Errorf("routes: got %+v, want all late time at r", line.Routes)
	}
}

// TestSlotUseIsOffByDefault checks that nothing is logged without the setting.
func TestSlotUseIsOffByDefault(t *testing.T) {
	e, _, log := startHanging(t, false, new(hangingEndpoint))
	e.LogSlotUse()
	if got := log.lines("419"); len(got) > 0 {
		t.Errorf("lines on slots: got %v, want none", got)
	}
}

// BenchmarkTrackedRun measures what the setting reclaim_slots adds to a run at an endpoint: its context, and the locked
// records of its start, answer and end, for reclamation and for the accounting of slots.
func BenchmarkTrackedRun(b *testing.B) {
	const slots = 10
	l := &localEndpoint{
		latencies: latency.NewModels(), breaker: breaker.New(breaker.DefaultConfig()), reclaims: true, slots: slots,
		use: slotuse.New(time.Now(), slots), queue: admission.NewQueue(slots, 0, nil),
	}
	for i := range 100 {
		l.latencies.Observe("r", time.Duration(15+i%10)*time.Millisecond)
	}
	d := lookup()
	resp := &upstream.Response{Response: &http.Response{StatusCode: http.StatusOK}}
	ended := result{end: &peerpb.End{}}
	for id := range uint64(slots) {
		l.trackRun(b.Context(), id, time.Now(), d, discardSink{})
	}
	b.ReportAllocs()
	for id := uint64(slots); b.Loop(); id++ {
		l.trackRun(b.Context(), id, time.Now(), d, discardSink{})
		l.noteAnswer(id-slots, contract.Answer{}, resp)
		l.untrackRun(id-slots, ended)
	}
}
