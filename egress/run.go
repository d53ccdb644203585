package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/upstream"
)

// result is the result of one run at an endpoint.
type result struct {
	end *peerpb.End
	// sample is set when the run says something about the endpoint's health: the endpoint had the request, or
	// accepted no connection.
	sample bool
	// failed is set when the endpoint failed to handle the request.
	failed bool
	// failedStatus is set when the endpoint answered with a status of 500 or more.
	failedStatus bool
	// brokenOff is set when the answer broke off or could not be read, or the endpoint accepted no connection.
	brokenOff bool
	// unanswered is set when no answer had begun by the time the deadline passed or the caller left.
	unanswered bool
	// reclaimed is set when the run was ended because another request needed its slot.
	reclaimed bool
	// unreachable is set when the endpoint accepted no connection.
	unreachable bool
	// stalledFor is how long the endpoint had to wait for the caller to read.
	stalledFor time.Duration
	// cause is why there was no complete answer, nil if there was one.
	cause error
}

// succeeded reports whether the endpoint ran the request and answered completely and without an error.
func (r result) succeeded() bool {
	return r.sample && !r.failed && r.end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && r.end.GetComplete()
}

// brokenWhileRunning reports whether the answer broke off, or never came, of a request that the endpoint may have
// been running.
func (r result) brokenWhileRunning() bool {
	return r.brokenOff && r.sample && r.end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN
}

const (
	copyBufferSize = 32 << 10
	// maxIdleNonRepeatable is the longest idle time of a connection that a non-repeatable request may use. The
	// endpoint may have forgotten an older one, and then it would be unknown whether the request ran.
	maxIdleNonRepeatable = 2 * time.Second
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// answerHooks holds the sink for one run's answer and the callbacks for the events of the run.
type answerHooks struct {
	sink peer.Sink
	// onHead is called with the head of the endpoint's answer before any part of the answer is passed on.
	onHead func(contract.Answer, *upstream.Response)
	// hold accounts for what is buffered of the answer while its caller reads slower than the endpoint answers.
	hold *memory.Reservation
	// onProgress is called when a part of the answer has arrived.
	onProgress func()
	// onStall is called when the endpoint has to wait for the caller; see localEndpoint.noteStall.
	onStall func() (wanted <-chan struct{}, over func())
	// onDone receives the result once, as soon as the endpoint is done; the caller may still be reading then.
	onDone func(result)
}

// run sends the request to the endpoint and passes its answer on.
func (l *localEndpoint) run(ctx context.Context, d *peerpb.Dispatch, body io.Reader, h answerHooks) result {
	stopLate := startLateTimer(d, h.sink)
	req := l.request(ctx, d, body)
	req.Reservation = h.hold
	resp, err := l.pool.Do(ctx, req)
	stopLate()
	if err != nil {
		r := noAnswerResult(ctx, err)
		h.onDone(r)
		return r
	}
	answer := l.contract.Answer(resp.StatusCode, resp.Header)
	h.onHead(answer, resp)
	l.reportedLoad.Store(&answer.Load)
	if answer.NotRun || answer.Foreign {
		r := rejectedAnswer(resp, answer)
		resp.Close()
		h.onDone(r)
		return r
	}
	return l.passAnswer(ctx, resp, h)
}

// rejectedAnswer is the result of a run whose answer is not passed on.
func rejectedAnswer(resp *upstream.Response, answer contract.Answer) result {
	if answer.NotRun {
		return notRunResult(resp, answer)
	}
	return result{
		end: peer.Unknown(fault.EndpointCut), sample: true, failed: true, brokenOff: true,
		cause: fault.New(fault.EndpointCut, strconv.Itoa(resp.StatusCode), "answer was not written by the endpoint itself"),
	}
}

// notRunResult is the result of a run that the endpoint reports as not run.
func notRunResult(resp *upstream.Response, answer contract.Answer) result {
	resp.Discard()
	end := peer.NotRun(fault.EndpointShed, retryAfterOf(resp.Header))
	if answer.Misplaced {
		end = peer.NotRun(fault.EndpointMoved, shortRetryAfter)
	}
	return result{end: end}
}

func (l *localEndpoint) request(ctx context.Context, d *peerpb.Dispatch, body io.Reader) upstream.Request {
	deadline, _ := ctx.Deadline()
	h := make(http.Header, len(d.GetHeaders()))
	header.ToHTTP(d.GetHeaders(), h)
	customer := ""
	if d.GetKeyed() {
		customer = d.GetCustomer()
	}
	l.contract.Dispatch(h, contract.Dispatch{
		Customer: customer, ID: d.GetRequestId(), Endpoint: d.GetEndpoint(), Caller: d.GetCaller(), TimeLeft: time.Until(deadline),
	})
	r := upstream.Request{
		Address: *l.address.Load(), Method: d.GetMethod(), Target: d.GetTarget(), Host: d.GetHost(), Header: h,
		Body: body, Length: d.GetBodyLength(),
	}
	if len(d.GetBody()) > 0 {
		r.Body, r.Length = bytes.NewReader(d.GetBody()), int64(len(d.GetBody()))
	}
	if !d.GetRepeatable() {
		r.Fresh = maxIdleNonRepeatable
	}
	r.Mine = func(status int, h http.Header) bool {
		id := l.contract.Answer(status, h).ID
		return id == "" || id == d.GetRequestId()
	}
	return r
}

func startLateTimer(d *peerpb.Dispatch, sink peer.Sink) func() {
	if d.GetLateMicros() <= 0 {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(d.GetLateMicros())*time.Microsecond, sink.ReportOverdue)
	return func() { t.Stop() }
}

// noAnswerResult is the result of a run that got no answer.
func noAnswerResult(ctx context.Context, err error) result {
	if gaveUpSlot(ctx) {
		return reclaimedResult(err)
	}
	code := fault.CodeOf(err)
	canceled := ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
	if code == fault.EndpointUnreachable {
		if ctx.Err() != nil {
			return result{end: peer.NotRun(fault.Canceled, shortRetryAfter)}
		}
		// An endpoint that accepts no connection has failed, although the request did not run.
		return result{
			end: peer.NotRun(code, shortRetryAfter), sample: true, failed: true, brokenOff: true, unreachable: true, cause: err,
		}
	}
	if upstream.IsSilent(err) {
		// The connection has failed and not the endpoint, of which the next request on a new one tells.
		return result{end: peer.Unknown(code), cause: err}
	}
	return result{
		end: peer.Unknown(code), sample: !canceled, failed: !canceled, brokenOff: code == fault.EndpointCut,
		unanswered: code == fault.DeadlineExceeded || code == fault.Canceled, cause: err,
	}
}

// passAnswer passes the answer on. An answer that breaks off ends as RAN but not complete.
func (l *localEndpoint) passAnswer(ctx context.Context, resp *upstream.Response, h answerHooks) result {
	failed := resp.StatusCode >= http.StatusInternalServerError
	head := &peerpb.Head{Status: uint32(resp.StatusCode), Headers: l.contract.Return(resp.Header)} //nolint:gosec // 3 digits
	small := resp.ContentLength >= 0 && resp.ContentLength <= copyBufferSize
	finish := func(r result) result {
		resp.Close()
		r.failed, r.failedStatus = r.failed || failed, failed
		h.onDone(r)
		return r
	}
	if h.sink.Head(head, small) != nil {
		return finish(incompleteRun())
	}
	if small {
		return finish(copyAnswer(ctx, resp, h.sink.Data))
	}
	s := newAnswerBuffer(h.hold, h.onStall)
	done := make(chan result, 1)
	go func() {
		r := copyAnswer(ctx, resp, func(b []byte, _ bool) error {
			h.onProgress()
			return s.put(ctx, b)
		})
		r.stalledFor = s.stalledFor
		r = finish(r)
		s.close()
		done <- r
	}()
	if s.drain(h.sink) != nil {
		r := <-done
		r.end = incompleteRun().end
		return r
	}
	return <-done
}

// incompleteRun is the result of a run whose answer nobody reads to its end.
func incompleteRun() result {
	return result{end: &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}, sample: true}
}

// copyAnswer reads the body of an answer to its end and calls take for each part.
func copyAnswer(ctx context.Context, resp *upstream.Response, take func(b []byte, last bool) error) result {
	r := incompleteRun()
	p, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	buf := *p
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if takeErr := take(buf[:n], errors.Is(err, io.EOF)); takeErr != nil {
				if fault.CodeOf(takeErr) == fault.CallerSlow {
					r.end.Code, r.cause = string(fault.CallerSlow), takeErr
				}
				return r
			}
		}
		if errors.Is(err, io.EOF) {
			r.end.Complete = true
			return r
		}
		if err != nil {
			r.end.Code = string(fault.EndpointCut)
			canceled := ctx.Err() == context.Canceled
			r.sample, r.failed, r.brokenOff, r.cause = !canceled, true, !canceled, err
			return r
		}
	}
}

func retryAfterOf(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return shortRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
