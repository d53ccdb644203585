package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// halves answers a request in two halves, the second once release is closed. It answers no request named "silent" until
// then.
type halves struct {
	echoHandler
	release chan struct{}
}

func (h halves) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink Sink) *peerpb.End {
	if d.GetRequestId() == "silent" {
		<-h.release
		return NotRun("busy", 0)
	}
	if p, ok := sink.(Permitter); ok && !p.Permit(ctx, &peerpb.Load{}, 0) {
		return NotRun("offer_lapsed", 0)
	}
	_ = sink.Head(&peerpb.Head{Status: 200}, false)
	_ = sink.Data([]byte("first,"), false)
	<-h.release
	_ = sink.Data([]byte("second"), true)
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

// committingSink passes each part of an answer on at once; began is closed with the first.
type committingSink struct {
	recordingSink
	once  sync.Once
	began chan struct{}
}

func (k *committingSink) Committed() bool { return len(k.body) > 0 }

func (k *committingSink) Data(b []byte, last bool) error {
	defer k.once.Do(func() { close(k.began) })
	return k.recordingSink.Data(b, last)
}

// beginAnswer sends an offer and returns once its caller has received a part of the answer, with a function that returns
// the outcome and the whole answer. An offer that lapses before that is repeated.
func beginAnswer(t *testing.T, s *Session) func() (peerpb.Outcome, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	for exchange := uint64(100); ; exchange++ {
		k := &committingSink{began: make(chan struct{})}
		end := make(chan *peerpb.End, 1)
		go func() {
			end <- s.Exchange(ctx, &peerpb.Dispatch{RequestId: "begun", BudgetMicros: 1e7, Exchange: exchange}, nil, k)
		}()
		select {
		case <-k.began:
			return func() (peerpb.Outcome, string) { return (<-end).GetOutcome(), string(k.body) }
		case e := <-end:
			if ctx.Err() != nil || e.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
				t.Fatalf("offer: got %v %s before a part of the answer, want a part", e.GetOutcome(), e.GetCode())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkWhole checks that an answer has come whole.
func checkWhole(t *testing.T, outcome peerpb.Outcome, body string) {
	t.Helper()
	if got, want := body, "first,second"; outcome != peerpb.Outcome_OUTCOME_RAN || got != want {
		t.Errorf("answer: got %v %q, want RAN %q", outcome, got, want)
	}
}

// TestSuspectLinkKeepsBegunAnswers guards against answers that are cut in the middle because another offer on the same link
// was not answered in time: what a caller has received a part of can be fetched over no other link.
func TestSuspectLinkKeepsBegunAnswers(t *testing.T) {
	h := halves{release: make(chan struct{})}
	_, address := startHandler(t, h)
	m, _ := startHandler(t, echoHandler{})
	s := session(t, m, address)
	answer := beginAnswer(t, s)
	end := s.Exchange(t.Context(), &peerpb.Dispatch{RequestId: "silent", BudgetMicros: 5e6, Exchange: 10}, nil, &recordingSink{})
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Fatalf("silent offer: got %v, want %v", got, want)
	}
	close(h.release)
	outcome, body := answer()
	checkWhole(t, outcome, body)
}

// holdingProxy passes bytes on to an address while it is not held.
type holdingProxy struct {
	listener net.Listener
	held     sync.RWMutex
}

func newHoldingProxy(t *testing.T, to string) *holdingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &holdingProxy{listener: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go p.pass(in, out)
			go p.pass(out, in)
		}
	}()
	return p
}

func (p *holdingProxy) pass(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		p.held.RLock()
		_, werr := to.Write(buf[:n])
		p.held.RUnlock()
		if err != nil || werr != nil {
			return
		}
	}
}

// TestSilentLinkKeepsBegunAnswers guards against answers that are cut in the middle because a link was silent for so long
// that it is replaced, although it comes back within the request's time.
func TestSilentLinkKeepsBegunAnswers(t *testing.T) {
	h := halves{release: make(chan struct{})}
	m, address := startManager(t, nil)
	m.Handle(h)
	p := newHoldingProxy(t, address)
	caller, _ := startManager(t, nil)
	s := session(t, caller, p.listener.Addr().String())
	answer := beginAnswer(t, s)
	p.held.Lock()
	time.Sleep(2 * closeFactor * caller.cfg.EchoTimeout)
	if caller.HasLink(s.address) {
		t.Error("link: got it in use while it is silent, want it released")
	}
	p.held.Unlock()
	close(h.release)
	outcome, body := answer()
	checkWhole(t, outcome, body)
	select {
	case <-s.done:
	case <-time.After(5 * time.Second):
		t.Error("link: got it open after its last answer, want it closed")
	}
}
