package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/memory"
)

// heldBody is the largest body that is held until the answer is whole, in bytes: one that breaks off before it was passed
// on can still be asked for elsewhere, or told as what it is.
const heldBody = 256 << 10

// answer passes one endpoint's answer to the caller. A short answer is held until it is whole, and a failed one as long
// as another endpoint may do better.
//
// Invariant: bytes of at most one exchange reach the caller.
type answer struct {
	w    http.ResponseWriter
	call call
	// say is how callers are spoken to.
	say contract.Contract
	// mayHold is set when a failed answer may give way to another endpoint's, keep when the key's home wants the answer.
	mayHold bool
	keep    bool
	// started is set once the head has gone to the caller, chunked when that states no length.
	started bool
	chunked bool
	// held is the head, and body the bytes, that have not gone to the caller yet; nil for none.
	held *peerpb.Head
	body []byte
	// head is the latest endpoint's head, kept as much of its body as is recorded for the key's home.
	head *peerpb.Head
	kept []byte
	// hold is what the held bytes hold of the node's budget.
	hold *memory.Reservation
	// size is how many bytes of the body have come.
	size int
	late lateWatch
	due  *dueWatch
	// winner decides which of several sends speaks to the caller.
	winner *winner
	// progress is the request's, endpoint the one that is asked, handed is set while it may be working on this send.
	progress *progress
	endpoint string
	handed   bool
}

func newAnswer(w http.ResponseWriter, c call, say contract.Contract, s *winner) *answer {
	return &answer{w: w, call: c, say: say, mayHold: c.repeatable, keep: c.claims(), due: newDueWatch(), winner: s, progress: new(progress)}
}

// HandOver implements peer.HandOver.
func (a *answer) HandOver() bool {
	a.handed = a.progress.handOver(a)
	return a.handed
}

// returned notes that the send has ended.
func (a *answer) returned() {
	if a.handed {
		a.handed = false
		a.progress.returned()
	}
}

// reset forgets a held answer before the next exchange.
func (a *answer) reset() {
	a.hold.Shrink(len(a.body))
	a.held, a.head = nil, nil
	a.body, a.kept = nil, nil
}

// Late implements peer.Sink.
func (a *answer) Late() {
	a.late.note()
}

// Due implements peer.Sink.
func (a *answer) Due(in time.Duration) { a.due.in(in) }

// Head implements peer.Sink.
func (a *answer) Head(h *peerpb.Head, _ bool) error {
	a.head = h
	if a.mayHold && h.GetStatus() >= http.StatusInternalServerError || short(h) {
		a.held = h
		return nil
	}
	return a.start(h)
}

// short tells whether an answer's whole body is small enough to be held.
func short(h *peerpb.Head) bool {
	for _, f := range h.GetHeaders() {
		if f.GetName() == "Content-Length" {
			n, err := strconv.ParseInt(f.GetValue(), 10, 64)
			return err == nil && n <= heldBody
		}
	}
	return false
}

// start passes the head on, Canceled when another send's answer goes to the caller.
func (a *answer) start(h *peerpb.Head) error {
	if !a.winner.take(a) {
		return fault.New(fault.Canceled, "answer", "another send has answered")
	}
	a.started = true
	a.progress.begin()
	out := a.w.Header()
	header.ToHTTP(h.GetHeaders(), out)
	a.say.Outcome(out, contract.Outcome{
		ID: a.call.id, Outcome: peerpb.Outcome_OUTCOME_RAN, Replayed: h.GetReplayed(),
	})
	a.chunked = out.Get("Content-Length") == ""
	a.w.WriteHeader(int(h.GetStatus()))
	return nil
}

// Data implements peer.Sink.
func (a *answer) Data(b []byte, _ bool) error {
	a.size += len(b)
	if a.keep && len(a.kept) <= dedupe.MaxStoredBody {
		a.kept = append(a.kept, b...)
	}
	if a.held != nil && len(a.body)+len(b) <= heldBody && a.hold.Grow(len(b)) {
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
	if err := a.start(a.held); err != nil {
		return err
	}
	a.held = nil
	_, err := a.w.Write(a.body)
	a.hold.Shrink(len(a.body))
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
	refuse(a.w, a.say, a.call.id, end, detailOf(end))
	// The refusal is a whole answer of its own.
	end.Complete = true
	return end
}

// record returns the answer for the key's home.
func (a *answer) record(end *peerpb.End) (*peerpb.Head, []byte) {
	if !end.GetComplete() || len(a.kept) > dedupe.MaxStoredBody {
		return nil, nil
	}
	return a.head, a.kept
}
