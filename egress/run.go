package egress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/peer"
)

// result is how one run went.
type result struct {
	end *peerpb.End
	// worked is set when the endpoint had the request, and so the run is evidence about it.
	worked bool
	// failed is set when the endpoint did not do the work.
	failed bool
	// leaving is set when the endpoint's answer said that it is leaving.
	leaving bool
}

const answerBuffer = 32 << 10

var answerBuffers = sync.Pool{New: func() any {
	b := make([]byte, answerBuffer)
	return &b
}}

// run hands the request to the endpoint and passes its answer to sink.
func (l *local) run(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) result {
	var handed atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }}
	req, err := l.request(httptrace.WithClientTrace(ctx, trace), d, body)
	if err != nil {
		return result{end: peer.NotRun(fault.BadRequest, 0)}
	}
	stopLate := watchLate(d, sink)
	resp, err := httpc.DoRequest(req)
	stopLate()
	if err != nil {
		return brokenOff(ctx, handed.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	leaving := resp.Header.Get(header.Leaving) != ""
	if resp.Header.Get(header.NotRun) != "" {
		end := peer.NotRun(fault.EndpointShed, retryAfterOf(resp))
		return result{end: end, leaving: leaving}
	}
	r := pass(ctx, resp, sink)
	r.leaving = leaving
	return r
}

func (l *local) request(ctx context.Context, d *peerpb.Dispatch, body io.Reader) (*http.Request, error) {
	url := "http://" + *l.address.Load() + d.GetTarget()
	req, err := http.NewRequestWithContext(ctx, d.GetMethod(), url, guard(d, body))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, d.GetTarget(), "request cannot be built")
	}
	req.Host = d.GetHost()
	req.ContentLength = d.GetBodyLength()
	header.ToHTTP(d.GetHeaders(), req.Header)
	deadline, _ := ctx.Deadline()
	req.Header.Set(header.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)+"ms")
	req.Header.Set(header.RequestID, d.GetRequestId())
	return req, nil
}

// guard keeps the HTTP transport from sending a request a second time by itself, which it does when a connection
// breaks and the request has no body, or an Idempotency-Key header, by giving every request that must not repeat a
// body that cannot be rewound.
func guard(d *peerpb.Dispatch, body io.Reader) io.Reader {
	if d.GetBodyLength() != 0 {
		return io.NopCloser(body)
	}
	if d.GetRepeatable() {
		return nil
	}
	return emptyBody{}
}

type emptyBody struct{}

// Read returns the end at once.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

func watchLate(d *peerpb.Dispatch, sink peer.Sink) func() {
	if d.GetLateMicros() <= 0 {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(d.GetLateMicros())*time.Microsecond, sink.Late)
	return func() { t.Stop() }
}

// brokenOff tells how a request without an answer ended.
func brokenOff(ctx context.Context, handed bool) result {
	if !handed {
		code := fault.EndpointUnreachable
		if ctx.Err() != nil {
			code = fault.Canceled
		}
		// An endpoint that takes no connection has failed at its work, though the request was not run.
		return result{end: peer.NotRun(code, shortRetryAfter), worked: ctx.Err() == nil, failed: true}
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return result{end: peer.Unknown(fault.DeadlineExceeded), worked: true, failed: true}
	case context.Canceled:
		return result{end: peer.Unknown(fault.Canceled)}
	}
	return result{end: peer.Unknown(fault.EndpointCut), worked: true, failed: true}
}

// pass copies the answer. An answer that breaks off ends as RAN but not complete.
func pass(ctx context.Context, resp *http.Response, sink peer.Sink) result {
	ran := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	failed := resp.StatusCode >= http.StatusInternalServerError
	head := &peerpb.Head{Status: uint32(resp.StatusCode), Headers: header.FromHTTP(resp.Header)} //nolint:gosec // 3 digits
	soon := resp.ContentLength >= 0 && resp.ContentLength <= answerBuffer
	if sink.Head(head, soon) != nil {
		return result{end: ran, worked: true, failed: failed}
	}
	p, _ := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(p)
	buf := *p
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && sink.Data(buf[:n], err == io.EOF) != nil {
			return result{end: ran, worked: true, failed: failed}
		}
		if err == io.EOF {
			ran.Complete = true
			return result{end: ran, worked: true, failed: failed}
		}
		if err != nil {
			ran.Code = string(fault.EndpointCut)
			canceled := ctx.Err() == context.Canceled
			return result{end: ran, worked: !canceled, failed: true}
		}
	}
}

func retryAfterOf(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return shortRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
