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
	// held is how long the endpoint had to wait for the caller to read.
	held time.Duration
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

// handling is how one run's answer is passed on.
type handling struct {
	sink peer.Sink
	// hold is what may be kept of the answer while its caller reads slower than the endpoint answers.
	hold *memory.Reservation
	// alive notes that a part of the answer has come.
	alive func()
	// holdUp notes that the endpoint waits for the caller; see local.holdUp.
	holdUp func() (wanted <-chan struct{}, over func())
	// ended is told once how the run went, as soon as the endpoint is done with it; its caller may still be reading.
	ended func(result)
}

// run hands the request to the endpoint and passes its answer on.
func (l *local) run(ctx context.Context, d *peerpb.Dispatch, body io.Reader, h handling) result {
	stopLate := watchLate(d, h.sink)
	resp, err := l.pool.Do(ctx, l.request(ctx, d, body))
	stopLate()
	if err != nil {
		r := brokenOff(ctx, err)
		h.ended(r)
		return r
	}
	answer := l.contract.Answer(resp.StatusCode, resp.Header)
	l.said.Store(&answer.Load)
	if answer.NotRun || answer.Foreign {
		r := unpassed(resp, answer)
		resp.Close()
		h.ended(r)
		return r
	}
	return l.pass(ctx, resp, answer.Leaving, h)
}

// unpassed is how a run went whose answer is not passed on.
func unpassed(resp *upstream.Response, answer contract.Answer) result {
	if answer.NotRun {
		return notRun(resp, answer)
	}
	return result{
		end: peer.Unknown(fault.EndpointCut), worked: true, failed: true, broken: true,
		cause: fault.New(fault.EndpointCut, strconv.Itoa(resp.StatusCode), "answer is not the endpoint's own"),
	}
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
	t := time.AfterFunc(time.Duration(d.GetLateMicros())*time.Microsecond, sink.ReportOverdue)
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
func (l *local) pass(ctx context.Context, resp *upstream.Response, leaving bool, h handling) result {
	failed := resp.StatusCode >= http.StatusInternalServerError
	head := &peerpb.Head{Status: uint32(resp.StatusCode), Headers: l.contract.Return(resp.Header)} //nolint:gosec // 3 digits
	soon := resp.ContentLength >= 0 && resp.ContentLength <= answerBuffer
	ended := func(r result) result {
		resp.Close()
		r.failed, r.leaving = r.failed || failed, leaving
		h.ended(r)
		return r
	}
	if h.sink.Head(head, soon) != nil {
		return ended(ranSoFar())
	}
	if soon {
		return ended(copyAnswer(ctx, resp, h.sink.Data))
	}
	s := newSpool(h.hold, h.holdUp)
	done := make(chan result, 1)
	go func() {
		r := copyAnswer(ctx, resp, func(b []byte, _ bool) error {
			h.alive()
			return s.put(ctx, b)
		})
		r.held = s.held
		r = ended(r)
		s.close()
		done <- r
	}()
	if s.drain(h.sink) != nil {
		r := <-done
		r.end = ranSoFar().end
		return r
	}
	return <-done
}

// ranSoFar is how a run went whose answer nobody takes to its end.
func ranSoFar() result {
	return result{end: &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}, worked: true}
}

// copyAnswer reads the body of an answer to its end, and has each piece taken.
func copyAnswer(ctx context.Context, resp *upstream.Response, take func(b []byte, last bool) error) result {
	r := ranSoFar()
	p, _ := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(p)
	buf := *p
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if taken := take(buf[:n], errors.Is(err, io.EOF)); taken != nil {
				if fault.CodeOf(taken) == fault.CallerSlow {
					r.end.Code, r.cause = string(fault.CallerSlow), taken
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
			r.worked, r.failed, r.broken, r.cause = !canceled, true, !canceled, err
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
