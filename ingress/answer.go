package ingress

import (
	"context"
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

// maxHeldBody is the largest body, in bytes, that is held back until the answer is complete. A held answer that breaks
// off can still be fetched again or reported with its true outcome.
const maxHeldBody = 256 << 10

// uncountedHead is how much of a held head takes no reservation, in bytes, so that ordinary answers are held while the memory
// budget is used up.
const uncountedHead = 4 << 10

// answer is the sink of one send: it passes the endpoint's answer to the caller. A short answer is held until it is
// complete, and a failed one for as long as another endpoint may give a better answer.
//
// Invariant: the caller receives bytes of at most one send.
type answer struct {
	w    http.ResponseWriter
	call call
	// contract encodes outcomes for the caller.
	contract contract.Contract
	// mayReplace is set when a failed answer may be replaced by another endpoint's, recordBody when the key's owner
	// stores the answer.
	mayReplace bool
	recordBody bool
	// started is set once the head was written to the caller, chunked if that head has no Content-Length.
	started bool
	chunked bool
	// held and body are the head and body that were received but not yet written to the caller; held is nil if there
	// are none.
	held *peerpb.Head
	body []byte
	// heldBytes is how much of the reservation held and body take.
	heldBytes int
	// head is the head of the latest answer, recordedBody the part of its body that is recorded for the key's owner.
	head         *peerpb.Head
	recordedBody []byte
	// reservation counts the held bytes against the node's memory budget.
	reservation *memory.Reservation
	// bodySize is the number of body bytes received so far.
	bodySize int
	late     lateNotifier
	due      *dueTimer
	// winner selects the send whose answer goes to the caller.
	winner *winner
	// progress belongs to the request. endpoint is the endpoint this send goes to; dispatched is set while that
	// endpoint may be working on it.
	progress   *progress
	endpoint   string
	dispatched bool
	// search records the result of the send's offer, unless the offer waits for a slot.
	search *search
	waits  bool
	// cancel cancels the send, nil for one that is not canceled to give up its slot. yielded is set once that was done,
	// received once an answer has begun to arrive; progress guards both.
	cancel   context.CancelFunc
	yielded  bool
	received bool
}

func newAnswer(w http.ResponseWriter, c call, ct contract.Contract, win *winner) *answer {
	return &answer{w: w, call: c, contract: ct, mayReplace: c.repeatable, recordBody: c.needsClaim(), due: newDueTimer(), winner: win, progress: new(progress)}
}

// AllowDispatch implements peer.DispatchGate.
func (a *answer) AllowDispatch() bool {
	a.dispatched = a.progress.beginDispatch(a)
	if a.dispatched {
		a.recordOffer(true, "")
	}
	return a.dispatched
}

// recordOffer records the result of the send's offer for the search for free slots.
func (a *answer) recordOffer(accepted bool, code fault.Code) {
	if a.search != nil && !a.waits {
		a.search.record(accepted, code)
	}
}

// Committed implements peer.CommittingSink.
func (a *answer) Committed() bool { return a.started }

// sendEnded reports to progress that the send has ended, if it was dispatched.
func (a *answer) sendEnded() {
	if a.dispatched {
		a.dispatched = false
		a.progress.endDispatch(a)
	}
}

// reset discards a held answer before the next send.
func (a *answer) reset() {
	a.releaseHeld()
	a.head, a.recordedBody = nil, nil
}

// ReportOverdue implements peer.Sink.
func (a *answer) ReportOverdue() {
	a.late.note()
}

// YieldSlot implements peer.SlotYielder.
func (a *answer) YieldSlot() {
	a.progress.yield(a)
}

// asYielded changes the end of a send that was canceled to give up its slot.
func (a *answer) asYielded(end *peerpb.End) *peerpb.End {
	if a.progress.gaveUpSlot(a) && fault.Code(end.GetCode()) == fault.Canceled {
		end.Code = string(fault.EndpointHung)
	}
	return end
}

// Due implements peer.Sink.
func (a *answer) Due(in time.Duration) { a.due.set(in) }

// Head implements peer.Sink.
func (a *answer) Head(h *peerpb.Head, _ bool) error {
	if !a.progress.receive(a) {
		return fault.New(fault.Canceled, "answer", "the send has given up its slot")
	}
	a.head = h
	replaceable := a.mayReplace && h.GetStatus() >= http.StatusInternalServerError
	if (replaceable || short(h)) && a.reserveHeld(max(header.Size(h.GetHeaders())-uncountedHead, 0)) {
		a.held = h
		return nil
	}
	return a.start(h)
}

// reserveHeld reserves memory for n more bytes that are held; false if there is none.
func (a *answer) reserveHeld(n int) bool {
	if n > 0 && !a.reservation.Grow(n) {
		return false
	}
	a.heldBytes += n
	return true
}

// releaseHeld drops what is held.
func (a *answer) releaseHeld() {
	a.reservation.Shrink(a.heldBytes)
	a.held, a.body, a.heldBytes = nil, nil, 0
}

// short reports whether an answer's Content-Length is small enough for the body to be held.
func short(h *peerpb.Head) bool {
	for _, f := range h.GetHeaders() {
		if f.GetName() == "Content-Length" {
			n, err := strconv.ParseInt(f.GetValue(), 10, 64)
			return err == nil && n <= maxHeldBody
		}
	}
	return false
}

// start writes the head to the caller. It fails with Canceled when the answer of another send goes to the caller.
func (a *answer) start(h *peerpb.Head) error {
	if !a.winner.take(a) {
		return fault.New(fault.Canceled, "answer", "another send has answered")
	}
	if h.GetStatus() >= http.StatusInternalServerError && a.winner.onFailure != nil {
		a.winner.onFailure()
	}
	a.started = true
	a.progress.beginAnswer()
	out := a.w.Header()
	header.ToHTTP(h.GetHeaders(), out)
	a.contract.Outcome(out, contract.Outcome{
		ID: a.call.id, Outcome: peerpb.Outcome_OUTCOME_RAN, Replayed: h.GetReplayed(),
	})
	a.chunked = out.Get("Content-Length") == ""
	a.w.WriteHeader(int(h.GetStatus()))
	return nil
}

// Data implements peer.Sink.
func (a *answer) Data(b []byte, _ bool) error {
	a.bodySize += len(b)
	if a.recordBody && len(a.recordedBody) <= dedupe.MaxStoredBody {
		a.recordedBody = append(a.recordedBody, b...)
	}
	if a.held != nil && len(a.body)+len(b) <= maxHeldBody && a.reserveHeld(len(b)) {
		a.body = append(a.body, b...)
		return nil
	}
	if err := a.flushHeld(); err != nil {
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

// flushHeld writes the held head and body to the caller.
func (a *answer) flushHeld() error {
	if a.held == nil {
		return nil
	}
	if err := a.start(a.held); err != nil {
		return err
	}
	_, err := a.w.Write(a.body)
	a.releaseHeld()
	return err
}

// isHeld reports whether the send has ended with a whole answer of which the caller has nothing yet.
func (a *answer) isHeld(end *peerpb.End) bool {
	return a.held != nil && end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && end.GetComplete()
}

// finish writes what remains of the final answer, or a refusal, to the caller and returns how the request ended.
func (a *answer) finish(end *peerpb.End) *peerpb.End {
	if a.held != nil && end.GetComplete() {
		if a.flushHeld() != nil {
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
	refuse(a.w, a.contract, a.call.id, end, detailOf(end))
	// The refusal itself is a complete answer.
	end.Complete = true
	return end
}

// record returns the answer to store at the key's owner, nil if it is incomplete or too long.
func (a *answer) record(end *peerpb.End) (*peerpb.Head, []byte) {
	if !end.GetComplete() || len(a.recordedBody) > dedupe.MaxStoredBody {
		return nil, nil
	}
	return a.head, a.recordedBody
}
