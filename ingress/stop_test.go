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

// doors stands for the doors of endpoints beside this node while it is being stopped.
type doors struct {
	mu    sync.Mutex
	words []string
	asked []string
	// begun takes each send that has come as far as its word says, closed ends once nothing may be handed over any more.
	begun  chan struct{}
	closed chan struct{}
	// ended counts the sends with a word that are under way.
	ended sync.WaitGroup
}

// Serve implements Local: the sends take the words in their order, whichever endpoint they go to; those beyond are refused.
func (s *doors) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	s.mu.Lock()
	if len(s.words) == 0 {
		s.mu.Unlock()
		return peer.NotRun(fault.Busy, 0)
	}
	word := s.words[0]
	s.words = s.words[1:]
	s.mu.Unlock()
	defer s.ended.Done()
	if d.GetTellDue() {
		sink.Due(0)
	}
	end := s.serveAs(ctx, word, sink)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, word+": "+endName(end))
	return end
}

func (s *doors) serveAs(ctx context.Context, word string, sink peer.Sink) *peerpb.End {
	status := uint32(200)
	switch word {
	case "queues":
		s.begun <- struct{}{}
		<-ctx.Done()
		return peer.NotRun(fault.Canceled, 0)
	case "late":
		s.begun <- struct{}{}
		<-s.closed
		if !peer.MayHandOver(sink) {
			return peer.NotRun(fault.Stopping, 0)
		}
	case "runs":
		handed := peer.MayHandOver(sink)
		s.begun <- struct{}{}
		<-s.closed
		if !handed || ctx.Err() != nil {
			return peer.Unknown(fault.Canceled)
		}
	case "fails":
		peer.MayHandOver(sink)
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
func (*doors) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*doors) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// TestStops runs the scenarios of testdata/stop: requests of a node from which nothing is handed over any more. It prints what the caller is
// told, with when to come back, and each send with what became of it.
//
//	get|post [after]      the request comes before that moment, once all its sends have begun, or after it
//	word word ...         what becomes of its sends
func TestStops(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		words := strings.Fields(d.Input)
		local := &doors{words: slices.Clone(words), begun: make(chan struct{}, len(words)), closed: make(chan struct{})}
		local.ended.Add(len(words))
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
		for range words {
			<-local.begun
		}
		g.StopDispatchBefore(time.Now())
		close(local.closed)
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			d.Fatalf(t, "the caller has no answer")
		}
		local.ended.Wait()
		out := fmt.Sprintf("%d %q", w.Code, bodyOf(w))
		var p Problem
		if json.Unmarshal(w.Body.Bytes(), &p) == nil {
			out += fmt.Sprintf(" in %d ms", p.RetryAfterMillis)
		}
		local.mu.Lock()
		defer local.mu.Unlock()
		slices.Sort(local.asked)
		return strings.Join(append([]string{out}, local.asked...), "\n") + "\n"
	})
}
