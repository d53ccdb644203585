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
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/upstream"
)

// result is how one run went.
type result struct {
	end *peerpb.End
	// worked is set when the endpoint had the request, and so the run is evidence about it.
	worked bool
	// failed is set when the endpoint did not do the work.
	failed bool
	// broken is set when its answer broke off or could not be read, or it took no connection.
	broken bool
	// silent is set when no answer had begun when the time ran out or the caller left.
	silent bool
	// unreachable is set when it took no connection.
	unreachable bool
	// leaving is set when the endpoint's answer said that it is leaving.
	leaving bool
	// cause is why there was no whole answer, nil if there was one.
	cause error
}

// ranWell tells whether the endpoint ran the request and answered that it did the work.
func (r result) ranWell() bool {
	return r.worked && !r.failed && r.end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && r.end.GetComplete()
}

// brokenAtWork tells whether the answer broke off, or never came, of a request that the endpoint may have been running.
func (r result) brokenAtWork() bool {
	return r.broken && r.worked && r.end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN
}

const (
	answerBuffer = 32 << 10
	// freshConn is how long a connection may have been idle for a request that must not repeat: an endpoint may have
	// forgotten an older one, and then nobody could tell whether the request ran.
	freshConn = 2 * time.Second
)

var answerBuffers = sync.Pool{New: func() any {
	b := make([]byte, answerBuffer)
	return &b
}}

// run hands the request to the endpoint and passes its answer to sink.
func (l *local) run(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) result {
	stopLate := watchLate(d, sink)
	resp, err := l.pool.Do(ctx, l.request(ctx, d, body))
	stopLate()
	if err != nil {
		return brokenOff(ctx, err)
	}
	defer resp.Close()
	answer := l.contract.Answer(resp.StatusCode, resp.Header)
	l.said.Store(&answer.Load)
	switch {
	case answer.NotRun:
		return notRun(resp, answer)
	case answer.Foreign:
		return result{
			end: peer.Unknown(fault.EndpointCut), worked: true, failed: true, broken: true,
			cause: fault.New(fault.EndpointCut, strconv.Itoa(resp.StatusCode), "answer is not the endpoint's own"),
		}
	}
	r := l.pass(ctx, resp, sink)
	r.leaving = answer.Leaving
	return r
}

// notRun passes on the endpoint's word that it did not run the request.
func notRun(resp *upstream.Response, answer contract.Answer) result {
	// The rest of the answer is read, so that the connection can be used again.
	_, _ = io.Copy(io.Discard, resp)
	end := peer.NotRun(fault.EndpointShed, retryAfterOf(resp.Header))
	if answer.Misplaced {
		end = peer.NotRun(fault.EndpointMoved, shortRetryAfter)
	}
	return result{end: end, leaving: answer.Leaving}
}

func (l *local) request(ctx context.Context, d *peerpb.Dispatch, body io.Reader) upstream.Request {
	deadline, _ := ctx.Deadline()
	h := make(http.Header, len(d.GetHeaders()))
	header.ToHTTP(d.GetHeaders(), h)
	customer := ""
	if d.GetKeyed() {
		customer = d.GetCustomer()
	}
	l.contract.Dispatch(h, contract.Dispatch{
		Customer: customer, ID: d.GetRequestId(), Endpoint: d.GetEndpoint(), Caller: d.GetCaller(), Left: time.Until(deadline),
	})
	r := upstream.Request{
		Address: *l.address.Load(), Method: d.GetMethod(), Target: d.GetTarget(), Host: d.GetHost(), Header: h,
		Body: body, Length: d.GetBodyLength(),
	}
	if len(d.GetBody()) > 0 {
		r.Body, r.Length = bytes.NewReader(d.GetBody()), int64(len(d.GetBody()))
	}
	if !d.GetRepeatable() {
		r.Fresh = freshConn
	}
	r.Mine = func(status int, h http.Header) bool {
		id := l.contract.Answer(status, h).ID
		return id == "" || id == d.GetRequestId()
	}
	return r
}

func watchLate(d *peerpb.Dispatch, sink peer.Sink) func() {
	if d.GetLateMicros() <= 0 {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(d.GetLateMicros())*time.Microsecond, sink.Late)
	return func() { t.Stop() }
}

// brokenOff tells how a request without an answer ended.
func brokenOff(ctx context.Context, err error) result {
	code := fault.CodeOf(err)
	canceled := ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
	if code == fault.EndpointUnreachable {
		if ctx.Err() != nil {
			return result{end: peer.NotRun(fault.Canceled, shortRetryAfter)}
		}
		// An endpoint that takes no connection has failed at its work, though the request was not run.
		return result{
			end: peer.NotRun(code, shortRetryAfter), worked: true, failed: true, broken: true, unreachable: true, cause: err,
		}
	}
	return result{
		end: peer.Unknown(code), worked: !canceled, failed: !canceled, broken: code == fault.EndpointCut,
		silent: code == fault.DeadlineExceeded || code == fault.Canceled, cause: err,
	}
}

// pass copies the answer. An answer that breaks off ends as RAN but not complete.
func (l *local) pass(ctx context.Context, resp *upstream.Response, sink peer.Sink) result {
	ran := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	failed := resp.StatusCode >= http.StatusInternalServerError
	head := &peerpb.Head{Status: uint32(resp.StatusCode), Headers: l.contract.Return(resp.Header)} //nolint:gosec // 3 digits
	soon := resp.ContentLength >= 0 && resp.ContentLength <= answerBuffer
	if sink.Head(head, soon) != nil {
		return result{end: ran, worked: true, failed: failed}
	}
	p, _ := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(p)
	buf := *p
	for {
		n, err := resp.Read(buf)
		if n > 0 && sink.Data(buf[:n], errors.Is(err, io.EOF)) != nil {
			return result{end: ran, worked: true, failed: failed}
		}
		if errors.Is(err, io.EOF) {
			ran.Complete = true
			return result{end: ran, worked: true, failed: failed}
		}
		if err != nil {
			ran.Code = string(fault.EndpointCut)
			canceled := ctx.Err() == context.Canceled
			return result{end: ran, worked: !canceled, failed: true, broken: !canceled, cause: err}
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
