package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// newSuspect returns an endpoint with slots whose breaker is open with slow start.
func newSuspect(t *testing.T, slots int) *localEndpoint {
	t.Helper()
	e := newTestEgress(t, "127.0.0.1:1", table.Active, func(cfg *Config) { cfg.SuspectRoom = true })
	l, end := e.find(lookup())
	if end != nil {
		t.Fatalf("find: got %v, want the endpoint", end)
	}
	l.slots = slots
	l.breaker.SetSlots(slots)
	l.breaker.ForceOpen(time.Now().Add(-time.Second))
	return l
}

// beginTrial dispatches a request that began at a time as a trial, and fails if it is none.
func beginTrial(t *testing.T, l *localEndpoint, at time.Time, run uint64) {
	t.Helper()
	ok, id := l.allowDispatch(at, lookup())
	if !ok || id == 0 {
		t.Fatalf("run %d: got allowed %v as trial %d, want a trial", run, ok, id)
	}
	l.trials[run] = id
	l.monitor.Begin(at, run, workOf(lookup()))
}

// TestTrialsAreAttributed guards against a result that counts for another trial: of two trials in flight the older one
// becomes overdue, and its late answer must not count as that of the younger one.
func TestTrialsAreAttributed(t *testing.T) {
	l := newSuspect(t, 4)
	now := time.Now()
	usual := lookup().GetUsualMicros()
	median := time.Duration(usual) * time.Microsecond
	beginTrial(t, l, now.Add(-10*median), 1)
	beginTrial(t, l, now.Add(-median/4), 2)
	l.reportOverdueTrials(now)
	if _, got := l.trials[1]; got {
		t.Error("overdue trial: got it in flight, want it counted as failed")
	}
	if _, got := l.trials[2]; !got {
		t.Error("younger trial: got it counted as failed, want it in flight")
	}
	answered := result{end: &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}, sample: true}
	chance := l.breaker.SuccessChance(now)
	l.recordResult(1, answered, 11*median, lookup())
	if got := l.breaker.SuccessChance(now); got > chance {
		t.Errorf("chance after the late answer: got %v, want at most %v", got, chance)
	}
	l.recordResult(2, answered, median, lookup())
	if got := l.breaker.SuccessChance(now); got <= chance {
		t.Errorf("chance after the younger trial's answer: got %v, want more than %v", got, chance)
	}
	if got := len(l.trials); got != 0 {
		t.Errorf("trials in flight: got %d, want 0", got)
	}
}

// TestCanceledTrialMakesRoom guards against a trial that was not dispatched and holds back the next one.
func TestCanceledTrialMakesRoom(t *testing.T) {
	l := newSuspect(t, 4)
	now := time.Now()
	_, id := l.allowDispatch(now, lookup())
	if ok, _ := l.allowDispatch(now, lookup()); ok {
		t.Fatal("second trial: got allowed, want refused")
	}
	l.releaseTrial(id)
	if got := len(l.overdueTrials(now.Add(time.Minute))); got != 0 {
		t.Errorf("overdue trials: got %d, want 0", got)
	}
	if ok, _ := l.allowDispatch(now.Add(time.Second), lookup()); !ok {
		t.Error("trial after the canceled one: got refused, want allowed")
	}
}

// TestSuspectReportsItsRoom checks that a load report carries the chance and the room while the breaker is open, that a
// slot which is taken is no room, and that neither is sent with the setting off or the breaker closed.
func TestSuspectReportsItsRoom(t *testing.T) {
	l := newSuspect(t, 1)
	load := l.loadReport(0, 0)
	if got := load.GetSuccessChance(); load.SuccessChance == nil || got <= 0 || got >= 1 {
		t.Errorf("chance: got %v, want one between 0 and 1", load.SuccessChance)
	}
	if got, want := load.GetTrialRoom(), uint32(1); got != want {
		t.Errorf("room: got %d, want %d", got, want)
	}
	l.queue.Offer(time.Now(), admission.Request{ID: 1, Weight: 1, Deadline: time.Now().Add(time.Second)})
	if got, want := l.loadReport(0, 0).GetTrialRoom(), uint32(0); got != want {
		t.Errorf("room with all slots taken: got %d, want %d", got, want)
	}
	l.suspectRoom = false
	if load := l.loadReport(0, 0); load.SuccessChance != nil || load.GetTrialRoom() != 0 {
		t.Errorf("setting off: got chance %v and room %d, want none", load.SuccessChance, load.GetTrialRoom())
	}
	l.suspectRoom = true
	l.breaker.ForceClose(time.Now())
	if load := l.loadReport(0, 0); load.SuccessChance != nil || load.GetTrialRoom() != 0 {
		t.Errorf("breaker closed: got chance %v and room %d, want none", load.SuccessChance, load.GetTrialRoom())
	}
}

// TestSecondTrialAfterTheMedian has an endpoint hang: with the setting on, a second repeatable request is sent there
// once the first has been unanswered for longer than the median, and no third one.
func TestSecondTrialAfterTheMedian(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 8)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active, func(cfg *Config) { cfg.SuspectRoom = true })
	l, end := e.find(lookup())
	if end != nil {
		t.Fatalf("find: got %v, want the endpoint", end)
	}
	l.mu.Lock()
	l.breaker.ForceOpen(time.Now().Add(-time.Second))
	l.mu.Unlock()
	d := lookup()
	d.UsualMicros = time.Second.Microseconds()
	go e.Serve(t.Context(), d, strings.NewReader(""), discardSink{})
	<-arrived
	if got, want := serve(t, e, lookup()).GetCode(), "suspect"; got != want {
		t.Errorf("second request at once: got %q, want %q", got, want)
	}
	time.Sleep(1100 * time.Millisecond)
	go e.Serve(t.Context(), d, strings.NewReader(""), discardSink{})
	<-arrived
	if got, want := serve(t, e, lookup()).GetCode(), "suspect"; got != want {
		t.Errorf("third request: got %q, want %q", got, want)
	}
}

// maxSuspectBytes is what a load report of a suspect takes more than another, as docs/CAPACITY.md states.
const maxSuspectBytes = 11

// TestSizes guards against load reports that grow beyond what is stated.
func TestSizes(t *testing.T) {
	load := newSuspect(t, 4).loadReport(0, 0)
	with := proto.Size(load)
	load.SuccessChance, load.TrialRoom = nil, 0
	got := with - proto.Size(load)
	t.Logf("a load report of a suspect takes %d bytes more", got)
	if got > maxSuspectBytes {
		t.Errorf("load report: got %d bytes more, want at most %d", got, maxSuspectBytes)
	}
}
