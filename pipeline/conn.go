package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	readBuffer = 4 << 10
	// mostAhead bounds the requests of one connection that were read and not answered yet.
	mostAhead = 16
	// lingerLimit is how long a connection that is closed with an answer on its way waits for its caller to close.
	lingerLimit = 500 * time.Millisecond
)

// conn is one caller's connection. The goroutine of serve reads; each request has a goroutine of its own; answers are
// written in the order of the requests.
type conn struct {
	s      *Server
	raw    net.Conn
	limit  *limitedReader
	r      *bufio.Reader
	ctx    context.Context //nolint:containedctx // the connection's life
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// ahead are the requests not answered yet, in order.
	ahead []*exchange
	// last is set once an answer that closes the connection has been begun.
	last bool
	room *sync.Cond
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, limit: &limitedReader{r: raw}}
	c.r = bufio.NewReaderSize(c.limit, readBuffer)
	c.room = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// limitedReader fails once a request's header has taken too much.
type limitedReader struct {
	r    io.Reader
	left int64
}

var errTooLarge = fault.New(fault.BadRequest, "header", "the header is too large")

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	l.left -= int64(n)
	return n, err
}

// errGone is why a request is canceled when its caller has left.
var errGone = fault.New(fault.Canceled, "connection", "caller went away")

func (c *conn) serve() {
	for c.serveNext() {
		continue
	}
	// What comes now belongs to no request; that nothing comes any more shows that the caller has left.
	_, _ = io.Copy(io.Discard, c.raw)
	c.end(errGone)
}

// serveNext reads one request and has it handled; false when the connection takes no more.
func (c *conn) serveNext() bool {
	limits := c.s.limits()
	if !c.awaitRequest(limits) {
		return false
	}
	req, status, bad := c.readRequest(limits)
	if bad != nil {
		c.refuse(status, bad)
		return false
	}
	return c.take(req)
}

// awaitRequest waits for the first byte of the next request; false when there is none to come.
func (c *conn) awaitRequest(limits Limits) bool {
	for {
		c.limit.left = int64(limits.HeaderBytes) + readBuffer
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.r.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		timeout := errors.As(err, &netErr) && netErr.Timeout()
		if timeout && c.closed() {
			return false
		}
		if timeout && c.working() {
			// A connection that waits for an answer is not idle.
			limits = c.s.limits()
			continue
		}
		if timeout {
			c.end(nil)
			return false
		}
		c.end(errGone)
		return false
	}
}

func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *conn) working() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}

// readRequest reads one request with its whole body.
func (c *conn) readRequest(limits Limits) (*http.Request, int, *fault.Error) {
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, statusOf(err), fault.Wrap(err, fault.BadRequest, "request", "request cannot be read")
	}
	if bad := checkRequest(req); bad != nil {
		return nil, http.StatusBadRequest, bad
	}
	if req.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, tooLarge()
	}
	if httpguts.HeaderValuesContainsToken(req.Header["Expect"], "100-continue") && !c.working() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, errGone
		}
	}
	body, status, bad := c.readBody(req, limits)
	if bad != nil {
		return nil, status, bad
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.TransferEncoding = nil
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, 0, nil
}

func tooLarge() *fault.Error { return fault.New(fault.BodyTooLarge, "body", "the body is too large") }

func statusOf(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return 0
	}
	return http.StatusBadRequest
}

// checkRequest refuses what two programs might read in two ways.
func checkRequest(r *http.Request) *fault.Error {
	if r.ProtoMajor != 1 {
		return fault.New(fault.BadRequest, "request", "want HTTP/1")
	}
	if !httpguts.ValidHostHeader(r.Host) || r.Host == "" && r.ProtoAtLeast(1, 1) {
		return fault.New(fault.BadRequest, "Host", "want a host")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fault.New(fault.BadRequest, "header", "no such field name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fault.New(fault.BadRequest, name, "no such field value")
			}
		}
	}
	return nil
}

// readBody reads the whole body; each part must come within the header's time.
func (c *conn) readBody(req *http.Request, limits Limits) ([]byte, int, *fault.Error) {
	if req.ContentLength == 0 {
		return nil, 0, nil
	}
	var body []byte
	if req.ContentLength > 0 {
		body = make([]byte, 0, min(req.ContentLength, 1<<20))
	}
	buf := make([]byte, readBuffer)
	for {
		c.limit.left = limits.BodyBytes + readBuffer
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		n, err := req.Body.Read(buf)
		body = append(body, buf[:n]...)
		if int64(len(body)) > limits.BodyBytes {
			return nil, http.StatusRequestEntityTooLarge, tooLarge()
		}
		if err == io.EOF {
			return body, 0, nil
		}
		if err != nil {
			return nil, statusOf(err), fault.Wrap(err, fault.BadRequest, "body", "the body broke off")
		}
	}
}

// refuse answers what could not be read, after the answers before it, and closes the connection.
func (c *conn) refuse(status int, bad *fault.Error) {
	if status == 0 {
		c.end(errGone)
		return
	}
	x := c.newExchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	x.started = true
	if !c.queue(x) || !x.await() {
		return
	}
	c.s.onError(x, status, bad)
	x.finish()
}

// take queues a request and starts what may start; false when the connection takes no more.
func (c *conn) take(req *http.Request) bool {
	x := c.newExchange(req)
	if !c.queue(x) {
		return false
	}
	c.pump()
	return !req.Close
}

func (c *conn) queue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) >= mostAhead && !c.last && c.ctx.Err() == nil {
		c.room.Wait()
	}
	if c.last || c.ctx.Err() != nil {
		return false
	}
	c.ahead = append(c.ahead, x)
	if len(c.ahead) == 1 {
		close(x.turn)
	}
	return true
}

// pump starts the requests that may run: safe ones side by side, any other alone.
func (c *conn) pump() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.ahead {
		alone := !x.safe() || i > 0 && !c.ahead[i-1].safe()
		if c.last || i > 0 && alone {
			return
		}
		if !x.started {
			x.started = true
			c.s.flight.Add()
			go x.run()
		}
	}
}

// next takes the answered request out and lets the next answer go.
func (c *conn) next(closes bool) {
	c.mu.Lock()
	c.ahead = c.ahead[1:]
	if len(c.ahead) > 0 && !closes {
		close(c.ahead[0].turn)
	}
	c.room.Broadcast()
	c.mu.Unlock()
	if closes {
		c.linger()
		return
	}
	c.pump()
}

// lastAnswer decides, when an answer begins, whether it is the connection's last: the caller or the handler wants that,
// or the node stops and nothing else that was read waits for its answer.
func (c *conn) lastAnswer(x *exchange, wants bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wants || x.req.Close || c.s.closing.Load() && len(c.ahead) == 1 {
		c.last = true
	}
	return c.last
}

// linger closes the connection so that the caller reads its last answer: closing under unread bytes would reset it.
func (c *conn) linger() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	// The goroutine that reads closes the connection at this time at the latest.
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerLimit))
}

// end closes the connection at once; a cause cancels what is under way.
func (c *conn) end(cause error) {
	if cause != nil {
		c.cancel(cause)
	}
	_ = c.raw.Close()
	c.mu.Lock()
	c.last = true
	c.room.Broadcast()
	c.mu.Unlock()
}

// abort resets the connection, so that a half answer cannot look whole.
func (c *conn) abort() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.end(errGone)
}
