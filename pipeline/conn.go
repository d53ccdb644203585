package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

const (
	// mostAhead bounds the requests of one connection that were read and not answered yet.
	mostAhead = 16
	// lingerLimit is how long a connection that is closed with an answer on its way waits for its caller to close.
	lingerLimit = 500 * time.Millisecond
)

// conn is one caller's connection. The goroutine of serve reads; each request has a goroutine of its own; answers are
// written in the order of the requests. This file holds its life and that order, request.go the reading.
type conn struct {
	s   *Server
	raw net.Conn
	// limit bounds what r takes from raw for one request.
	limit  *limitedReader
	r      *bufio.Reader
	ctx    context.Context //nolint:containedctx // the connection's life
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// ahead are the requests not answered yet, in order.
	ahead []*exchange
	// answered is when the last request was, or when the connection began.
	answered time.Time
	// last is set once an answer that closes the connection has been begun, or the connection has ended.
	last bool
	// lingers is set once it only waits for its caller to close.
	lingers bool
	// room is signaled when an answered request has left ahead, or the connection has ended.
	room *sync.Cond
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, answered: time.Now(), limit: &limitedReader{r: raw}}
	c.r = bufio.NewReaderSize(c.limit, readBuffer)
	c.room = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// errGone is why a request is canceled when its caller has left.
var errGone = fault.New(fault.Canceled, "connection", "caller went away")

// serve reads requests until the connection takes no more, then waits for the caller to leave.
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
	req, hold, status, bad := c.readRequest(limits)
	if bad != nil {
		var h http.Header
		if bad.Code == fault.MemorySpent {
			h = req.Header
		}
		c.refuse(h, status, bad)
		return false
	}
	if c.s.refusing.Load() {
		hold.Release()
		c.refuse(req.Header, http.StatusServiceUnavailable, fault.New(fault.Draining, "", "the node is stopping"))
		return false
	}
	return c.take(req, hold)
}

// awaitRequest waits for the first byte of the next request; false when there is none to come.
func (c *conn) awaitRequest(limits Limits) bool {
	for until := time.Now().Add(limits.IdleTimeout); ; until = c.idleUntil(c.s.limits()) {
		c.limit.left = int64(limits.HeaderBytes) + readBuffer
		c.readUntil(until)
		_, err := c.r.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		timeout := errors.As(err, &netErr) && netErr.Timeout()
		if timeout && c.closed() {
			return false
		}
		if timeout && time.Now().Before(c.idleUntil(c.s.limits())) {
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

// closed tells whether the connection takes no more requests.
func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// working tells whether some request waits for its answer.
func (c *conn) working() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}

// idleUntil is when the connection has been idle for too long. One that waits for an answer is not idle.
func (c *conn) idleUntil(limits Limits) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 {
		return time.Now().Add(limits.IdleTimeout)
	}
	return c.answered.Add(limits.IdleTimeout)
}

// behind counts the requests that were read and have not begun.
func (c *conn) behind() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.ahead {
		if !x.started {
			n++
		}
	}
	return n
}

// refuse answers what could not be read or is not taken, after the answers before it, and closes the connection; h is the
// request's header, nil where it could not be read.
func (c *conn) refuse(h http.Header, status int, bad *fault.Error) {
	if status == 0 {
		c.end(errGone)
		return
	}
	c.s.flight.Add()
	defer c.s.flight.Done()
	x := c.newExchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	x.started = true
	if !c.queue(x) || !x.await() {
		return
	}
	c.s.onError(x, h, status, bad)
	x.finish()
}

// take queues a request, whose body holds some memory, and starts what may start; false when the connection takes no more.
func (c *conn) take(req *http.Request, hold *memory.Reservation) bool {
	x := c.newExchange(req)
	x.hold = hold
	if !c.queue(x) {
		hold.Release()
		return false
	}
	c.pump()
	return !req.Close
}

// queue puts a request behind the others once there is room; false when the connection takes no more.
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
	c.answered = time.Now()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	// The goroutine that reads closes the connection at this time at the latest.
	c.lingers = true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerLimit))
}

// lingering tells whether the connection only waits for its caller to close.
func (c *conn) lingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingers
}

// readUntil bounds the reading of what comes next, unless the connection is being closed already.
func (c *conn) readUntil(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingers {
		_ = c.raw.SetReadDeadline(at)
	}
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
