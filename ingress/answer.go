package ingress

import (
	"net/http"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
)

// heldBody is the largest body of a failed answer that is held while another try is possible, in bytes.
const heldBody = 64 << 10

// answer passes one endpoint's answer to the caller. A failed answer is held as long as another endpoint may do
// better.
//
// Invariant: bytes of at most one exchange reach the caller.
type answer struct {
	w       http.ResponseWriter
	call    call
	mayHold bool
	keep    bool
	started bool
	chunked bool
	held    *peerpb.Head
	body    []byte
	head    *peerpb.Head
	kept    []byte
	onLate  func()
}

func newAnswer(w http.ResponseWriter, c call, replayable bool) *answer {
	return &answer{w: w, call: c, mayHold: c.repeatable && replayable, keep: c.keyed()}
}

// reset forgets a held answer before the next exchange.
func (a *answer) reset() {
	a.held = nil
	a.body = nil
}

// Late implements peer.Sink.
func (a *answer) Late() {
	if a.onLate != nil {
		a.onLate()
	}
}

// Head implements peer.Sink.
func (a *answer) Head(h *peerpb.Head, _ bool) error {
	a.head = h
	if a.mayHold && h.GetStatus() >= http.StatusInternalServerError {
		a.held = h
		return nil
	}
	a.start(h)
	return nil
}

func (a *answer) start(h *peerpb.Head) {
	a.started = true
	out := a.w.Header()
	header.ToHTTP(h.GetHeaders(), out)
	out.Set(header.Outcome, outcomeName(peerpb.Outcome_OUTCOME_RAN))
	out.Set(header.RequestID, a.call.id)
	if h.GetReplayed() {
		out.Set(header.Replayed, "yes")
	}
	a.chunked = out.Get("Content-Length") == ""
	a.w.WriteHeader(int(h.GetStatus()))
}

// Data implements peer.Sink.
func (a *answer) Data(b []byte, _ bool) error {
	if a.keep && len(a.kept) <= dedupe.KeptBody {
		a.kept = append(a.kept, b...)
	}
	if a.held != nil && len(a.body)+len(b) <= heldBody {
		a.body = append(a.body, b...)
		return nil
	}
	if err := a.release(); err != nil {
		return err
	}
	if _, err := a.w.Write(b); err != nil {
		return err
	}
	if a.chunked {
		return http.NewResponseController(a.w).Flush()
	}
	return nil
}

// release passes on what was held.
func (a *answer) release() error {
	if a.held == nil {
		return nil
	}
	a.start(a.held)
	a.held = nil
	_, err := a.w.Write(a.body)
	a.body = nil
	return err
}

// finish gives the caller the final answer and returns how the request ended.
func (a *answer) finish(end *peerpb.End) *peerpb.End {
	if a.held != nil && end.GetComplete() {
		if a.release() != nil {
			end.Complete = false
		}
		return end
	}
	if a.started {
		if !end.GetComplete() {
			end.Outcome = peerpb.Outcome_OUTCOME_RAN
		}
		return end
	}
	refuse(a.w, a.call.id, end, detailOf(end))
	// The refusal is a whole answer of its own.
	end.Complete = true
	return end
}

// record returns the answer for the key's home.
func (a *answer) record(end *peerpb.End) (*peerpb.Head, []byte) {
	if !end.GetComplete() || len(a.kept) > dedupe.KeptBody {
		return nil, nil
	}
	return a.head, a.kept
}
