package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
)

// stoppingEndpoints simulates the egress and the endpoints beside a node that is being stopped.
type stoppingEndpoints struct {
	mu         sync.Mutex
	behaviours []string
	sends      []string
	// begun receives each send that has come as far as its behaviour says; closed is closed once nothing may be
	// dispatched any more.
	begun  chan struct{}
	closed chan struct{}
	// ended counts the running sends that have a behaviour.
	ended sync.WaitGroup
}

// Serve implements Local. The sends take the behaviours in their order, whichever endpoint they go to; the sends beyond
// the list are refused.
func (s *stoppingEndpoints) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	s.mu.Lock()
	if len(s.behaviours) == 0 {
		s.mu.Unlock()
		return peer.NotRun(fault.Busy, 0)
	}
	behaviour := s.behaviours[0]
	s.behaviours = s.behaviours[1:]
	s.mu.Unlock()
	defer s.ended.Done()
	if d.GetTellDue() {
		sink.Due(0)
	}
	end := s.serveAs(ctx, behaviour, sink)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, behaviour+": "+endName(end))
	return end
}

func (s *stoppingEndpoints) serveAs(ctx context.Context, behaviour string, sink peer.Sink) *peerpb.End {
	status := uint32(200)
	switch behaviour {
	case "queues":
		s.begun <- struct{}{}
		<-ctx.Done()
		return peer.NotRun(fault.Canceled, 0)
	case "late":
		s.begun <- struct{}{}
		<-s.closed
		if !peer.AllowsDispatch(sink) {
			return peer.NotRun(fault.Stopping, 0)
		}
	case "runs":
		dispatched := peer.AllowsDispatch(sink)
		s.begun <- struct{}{}
		<-s.closed
		if !dispatched || ctx.Err() != nil {
			return peer.Unknown(fault.Canceled)
		}
	case "fails":
		peer.AllowsDispatch(sink)
		s.begun <- struct{}{}
		status = 500
	}
	head := &peerpb.Head{Status: status, Headers: []*peerpb.Header{{Name: "Content-Length", Value: "2"}}}
	if sink.Head(head, true) != nil || sink.Data([]byte("ok"), true) != nil {
		return peer.Unknown(fault.Canceled)
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

// Settle implements Local.
func (*stoppingEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*stoppingEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*stoppingEndpoints) NoteCallFailed(string) {}

// TestRequestsDuringStop runs the scenarios of testdata/stop: requests to a node that dispatches nothing any more. The
// output is what the caller receives, with the retry delay, and each send with how it ended.
//
//	get|post [after]
//	behaviour behaviour ...
//
// Dispatching stops once the request's sends have begun or, with after, before the request arrives. The second line
// lists the behaviours of the sends.
func TestRequestsDuringStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		behaviours := strings.Fields(d.Input)
		local := &stoppingEndpoints{behaviours: slices.Clone(behaviours), begun: make(chan struct{}, len(behaviours)), closed: make(chan struct{})}
		local.ended.Add(len(behaviours))
		g := ingressWith(t, fleet(t, 3, 2), local)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(strings.ToUpper(d.Cmd), "http://desk.example/x", nil)
		r.RequestURI = "/x"
		if d.HasArg("after") {
			g.StopDispatchBefore(time.Now())
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			serveCaller(g, w, r)
		}()
		for range behaviours {
			<-local.begun
		}
		g.StopDispatchBefore(time.Now())
		close(local.closed)
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			d.Fatalf(t, "the caller received no answer")
		}
		local.ended.Wait()
		out := fmt.Sprintf("%d %q", w.Code, bodyOf(w))
		var p Problem
		if json.Unmarshal(w.Body.Bytes(), &p) == nil {
			out += fmt.Sprintf(" in %d ms", p.RetryAfterMillis)
		}
		local.mu.Lock()
		defer local.mu.Unlock()
		slices.Sort(local.sends)
		return strings.Join(append([]string{out}, local.sends...), "\n") + "\n"
	})
}
