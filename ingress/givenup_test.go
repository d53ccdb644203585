package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// scriptedRun is what an endpoint does with a run, in times from its beginning.
type scriptedRun struct {
	// due is when the answer is due, 0 if that is not told; asks are when the endpoint's node asks for the slot; answers is
	// when the endpoint answers, breaks when it breaks off.
	due             time.Duration
	asks            []time.Duration
	answers, breaks time.Duration
	// loses is when the link to the endpoint's node breaks, fails when the endpoint answers with a failure.
	loses, fails time.Duration
}

// slotEndpoints simulates the endpoints of a service, of which no second one has a free slot for a while.
type slotEndpoints struct {
	start time.Time
	// freeAt is the time from the start at which other slots are free, by the number of runs begun before.
	freeAt []time.Duration
	// usual is how long such work usually takes, 0 if that is not known.
	usual time.Duration

	mu   sync.Mutex
	runs []scriptedRun
	log  []string
	begun,
	working int
}

// Serve implements Local. The first run begins at once.
func (s *slotEndpoints) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	run, n, end := s.admit(d, sink)
	if end != nil {
		return end
	}
	if run.due > 0 {
		sink.Due(run.due)
	}
	for _, at := range run.asks {
		time.AfterFunc(at, func() { peer.RequestSlot(sink) })
	}
	never := time.Hour
	if run.answers == 0 {
		run.answers = never
	}
	if run.breaks == 0 {
		run.breaks = never
	}
	if run.loses == 0 {
		run.loses = never
	}
	if run.fails == 0 {
		run.fails = never
	}
	select {
	case <-ctx.Done():
		s.ended(n, "given up")
		return peer.Unknown(fault.Canceled)
	case <-time.After(run.breaks):
		s.ended(n, "broke off")
		return peer.Unknown(fault.EndpointCut)
	case <-time.After(run.loses):
		s.ended(n, "lost its link")
		return peer.Unknown(fault.LinkLost)
	case <-time.After(run.fails):
		s.ended(n, "failed")
		return serveAs(ctx, "fails", sink)
	case <-time.After(run.answers):
		s.ended(n, "answered")
		return serveAs(ctx, "answers", sink)
	}
}

// admit begins a run, or returns a refusal.
func (s *slotEndpoints) admit(d *peerpb.Dispatch, sink peer.Sink) (scriptedRun, int, *peerpb.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.begun < len(s.freeAt) && time.Since(s.start) >= s.freeAt[s.begun]
	switch {
	case !free && d.GetWait():
		return scriptedRun{}, 0, peer.NotRun(fault.DeadlineTooShort, 0)
	case !free || s.begun >= len(s.runs):
		return scriptedRun{}, 0, peer.NotRun(fault.Busy, 0)
	case !peer.AllowsDispatch(sink):
		return scriptedRun{}, 0, peer.NotRun(fault.Stopping, 0)
	}
	s.begun++
	s.working++
	s.log = append(s.log, fmt.Sprintf("%v: run %d begins, ahead of new work %v", time.Since(s.start).Round(50*time.Millisecond), s.begun, d.GetNested()))
	return s.runs[s.begun-1], s.begun, nil
}

func (s *slotEndpoints) ended(n int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working--
	s.log = append(s.log, fmt.Sprintf("%v: run %d %s", time.Since(s.start).Round(50*time.Millisecond), n, how))
}

// Settle implements Local.
func (*slotEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*slotEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*slotEndpoints) NoteCallFailed(string) {}

// drawRequest draws an order of the requests for slots, of the notice of a stop and of the moment at which other slots are free.
// Each run that keeps its slot is answered.
func drawRequest(random *rand.Rand) (s *slotEndpoints, attempts int, notice time.Duration) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	s = &slotEndpoints{start: time.Now(), freeAt: []time.Duration{0}}
	attempts = 1 + random.IntN(3)
	free := upTo(time.Second)
	for range attempts {
		run := scriptedRun{answers: 100*time.Millisecond + upTo(2*time.Second)}
		for range random.IntN(3) {
			run.asks = append(run.asks, upTo(time.Second))
		}
		s.runs, s.freeAt = append(s.runs, run), append(s.freeAt, free)
	}
	if random.IntN(2) == 0 {
		notice = 1 + upTo(time.Second)
	}
	return s, attempts, notice
}

// TestGivenUpSlotEndsNoRequest guards against requests that a node answers by itself after it gave up their slots at hanging
// endpoints, in particular where a stop signal had been sent and was noticed only after that.
func TestGivenUpSlotEndsNoRequest(t *testing.T) {
	const cases = 300
	for seed := range uint64(cases) {
		var got, drawn string
		synctest.Test(t, func(t *testing.T) {
			s, attempts, notice := drawRequest(rand.New(rand.NewPCG(seed, 0)))
			drawn = fmt.Sprintf("%d attempts, notice after %v", attempts, notice)
			got = s.serveOne(t, fleet(t, 4, attempts), 10*time.Second, notice)
		})
		if want := `caller has 200 "ok"`; !strings.Contains(got, want) {
			t.Errorf("seed %d, %s: got %s, want %s", seed, drawn, got, want)
		}
	}
}

// parseRuns reads one run a line: due=TIME asks=TIME,... answers=TIME breaks=TIME loses=TIME fails=TIME.
func parseRuns(t testing.TB, lines string) []scriptedRun {
	t.Helper()
	var runs []scriptedRun
	for line := range strings.Lines(lines) {
		var run scriptedRun
		for _, word := range strings.Fields(line) {
			name, value, _ := strings.Cut(word, "=")
			switch name {
			case "due":
				run.due = parseDuration(t, value)
			case "asks":
				for at := range strings.SplitSeq(value, ",") {
					run.asks = append(run.asks, parseDuration(t, at))
				}
			case "answers":
				run.answers = parseDuration(t, value)
			case "breaks":
				run.breaks = parseDuration(t, value)
			case "loses":
				run.loses = parseDuration(t, value)
			case "fails":
				run.fails = parseDuration(t, value)
			}
		}
		runs = append(runs, run)
	}
	return runs
}

// TestGivenUpSlots guards against requests that end with their slots, and against slots of hanging endpoints that are kept
// although the request is served elsewhere.
//
// Each case of testdata/givenup has one request and its runs in their order, by a fake clock:
//
//	request [attempts=N] [deadline=TIME] [free=(TIME...)] [notice=TIME] [usual=TIME]
//	due=TIME asks=TIME,... answers=TIME breaks=TIME loses=TIME fails=TIME
//
// free is when a slot for each further run is free, notice when the node notices its stop, for which it has a grace of 5 s, and
// usual how long such work usually takes. The output is what the endpoints saw, and the caller's answer.
func TestGivenUpSlots(t *testing.T) {
	datadriven.RunTest(t, "testdata/givenup", func(t *testing.T, d *datadriven.TestData) string {
		attempts, deadline, notice, usual := 2, "10s", "0s", "0s"
		d.MaybeScanArgs(t, "attempts", &attempts)
		d.MaybeScanArgs(t, "deadline", &deadline)
		d.MaybeScanArgs(t, "notice", &notice)
		d.MaybeScanArgs(t, "usual", &usual)
		var out string
		synctest.Test(t, func(t *testing.T) {
			s := &slotEndpoints{
				start: time.Now(), runs: parseRuns(t, d.Input), freeAt: []time.Duration{0}, usual: parseDuration(t, usual),
			}
			for _, arg := range d.CmdArgs {
				if arg.Key == "free" {
					for _, at := range arg.Vals {
						s.freeAt = append(s.freeAt, parseDuration(t, at))
					}
				}
			}
			out = s.serveOne(t, fleet(t, 3, attempts), parseDuration(t, deadline), parseDuration(t, notice))
		})
		return out
	})
}

// usualRuns is how many runs tell how long the work usually takes.
const usualRuns = 100

// serveOne serves one request and returns its answer and the events at the endpoints.
func (s *slotEndpoints) serveOne(t *testing.T, state *table.State, deadline, notice time.Duration) string {
	t.Helper()
	g := ingressWith(t, state, s)
	g.clock = time.Now
	for range usualRuns {
		if s.usual > 0 {
			g.routeStats.record("all", s.usual, 0)
		}
	}
	if notice > 0 {
		const grace = 5 * time.Second
		stop := time.AfterFunc(notice, func() { g.StopDispatchBefore(time.Now().Add(grace)) })
		defer stop.Stop()
		settle := time.AfterFunc(notice+grace-100*time.Millisecond, g.Settle)
		defer settle.Stop()
	}
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://desk.example/", nil)
	r.RequestURI = "/"
	aborted := serveCaller(g, w, r.WithContext(ctx))
	at := time.Since(s.start).Round(50 * time.Millisecond)
	cancel()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(append(slices.Clone(s.log), fmt.Sprintf("%v: caller has %d %q%s", at, w.Code, bodyOf(w), aborted)), "\n") + "\n"
}

// TestAwaitsSlot guards against a request that looks for a slot although none can be granted: its route or key is gone, or it
// has ended endpoints.
func TestAwaitsSlot(t *testing.T) {
	for _, c := range []struct {
		end  *peerpb.End
		want bool
	}{
		{peer.Unknown(fault.EndpointHung), true},
		{peer.Unknown(fault.LinkLost), true},
		{peer.NotRun(fault.DeadlineTooShort, 0), true},
		{peer.NotRun(fault.LinkDown, 0), true},
		{peer.NotRun(fault.Stale, 0), false},
		{peer.NotRun(fault.UnknownToken, 0), false},
		{peer.NotRun(fault.OutOfRegion, 0), false},
		{peer.NotRun(fault.FatalRequest, 0), false},
		{peer.Unknown(fault.EndpointCut), false},
		{peer.Unknown(fault.DeadlineExceeded), false},
	} {
		if got := awaitsSlot(c.end); got != c.want {
			t.Errorf("%s: got %v, want %v", endName(c.end), got, c.want)
		}
	}
}
