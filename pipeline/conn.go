package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// maxPending is the maximum number of requests of one connection that have been read but not answered yet.
	maxPending = 16
	// lingerTimeout is how long a connection waits, after its last answer has been written, for its caller to close it.
	lingerTimeout = 500 * time.Millisecond
	// idleGrace is how long after a change of the idle timeout a connection may still be idle by the earlier one, as its caller may
	// not know of the change.
	idleGrace = 2 * time.Second
)

// conn is a caller's connection. One goroutine, which runs serve, reads the requests; each request is handled in a
// goroutine of its own; answers are written in the order of the requests. This file contains the connection's lifecycle
// and the order of its answers, request.go the reading of requests.
type conn struct {
	s   *Server
	raw net.Conn
	// limit bounds the bytes that r reads from raw for one request.
	limit  *limitedReader
	r      *bufio.Reader
	ctx    context.Context //nolint:containedctx // it lasts as long as the connection
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// pending holds the requests that have been read but not answered yet, in the order in which they were read.
	pending []*exchange
	// lastAnswered is the time of the latest answer's end, or of the connection's start if there was no answer yet.
	lastAnswered time.Time
	// closing is set once the answer that closes the connection has been started, or the connection has been closed.
	closing bool
	// lingers is set once the connection only waits, until lingerEnd, for its caller to close it.
	lingers   bool
	lingerEnd time.Time
	// reading is set while a request is being read.
	reading bool
	// finishBy is the time by which the request that is being read must be whole, zero while the server does not stop.
	finishBy time.Time
	// pendingFreed is signaled when an answered request is removed from pending, or the connection is closed.
	pendingFreed *sync.Cond
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, lastAnswered: time.Now(), limit: &limitedReader{r: raw}}
	c.r = bufio.NewReaderSize(c.limit, readBuffer)
	c.pendingFreed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// errHoldsUp is the cause with which a request is canceled when answers that are ready wait for its own while the server stops.
var errHoldsUp = fault.New(fault.Stopping, "connection", "answers wait for that of this request")

// errCallerGone is the cause with which requests are canceled when their caller has closed the connection.
var errCallerGone = fault.New(fault.Canceled, "connection", "caller went away")

// serve reads requests until the connection accepts no more, then waits for the caller to close it.
func (c *conn) serve() {
	for c.serveNext() {
		continue
	}
	c.discardRest()
	c.shutdown(errCallerGone)
}

// discardRest discards the bytes that arrive from here on, which belong to no request, until the caller has closed the connection
// or lingers long enough.
//
// Invariant: the connection is not closed while its last answer is being written. The deadline of an earlier read, or of a stop,
// may pass meanwhile; only linger sets one that counts.
func (c *conn) discardRest() {
	for {
		c.clearReadDeadline()
		_, err := io.Copy(io.Discard, c.raw)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.hasLingered() {
			return
		}
	}
}

// clearReadDeadline removes the read deadline unless the connection is lingering.
func (c *conn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingers {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
}

// hasLingered reports whether the connection has lingered long enough. An earlier deadline may pass as the lingering begins.
func (c *conn) hasLingered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingers && !time.Now().Before(c.lingerEnd)
}

// serveNext reads one request and dispatches it to the handler. It returns false when the connection accepts no more.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	req, memory, status, bad := c.readRequest(c.s.limits())
	c.endReading()
	if bad == nil && !c.s.accepts(c.ctx, time.Now()) || status == http.StatusRequestTimeout && c.finishing() {
		memory.release()
		status, bad = http.StatusServiceUnavailable, fault.New(fault.Draining, "", "the node is stopping")
	}
	if bad != nil {
		var h http.Header
		if req != nil {
			h = req.Header
		}
		c.refuse(h, status, bad)
		return false
	}
	return c.accept(req, memory)
}

// awaitRequest waits for the first byte of the next request. It returns false when no further request will be read.
//
// Invariant: nothing that the operators can change is looked up before the wait and used after it: it may last for the idle timeout.
func (c *conn) awaitRequest() bool {
	until, open := time.Now().Add(c.s.limits().IdleTimeout), true
	for open {
		c.limit.begin(readBuffer)
		c.setReadDeadline(until)
		_, err := c.r.Peek(1)
		if err == nil {
			c.beginReading()
			return true
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			c.shutdown(errCallerGone)
			return false
		}
		if c.closed() {
			return false
		}
		until, open = c.awaitUntil(c.s.limits())
	}
	c.shutdown(nil)
	return false
}

// awaitUntil returns, after a read deadline has passed, the time until which the connection waits for its next request, or
// false if it is to be closed. Bytes may have arrived although the deadline has passed, for example when the process was
// suspended: closing the connection would lose a request.
func (c *conn) awaitUntil(limits Limits) (time.Time, bool) {
	now := time.Now()
	if hasUnread(c.raw) {
		c.extendFinish(now)
		return now.Add(limits.HeaderTimeout), true
	}
	if c.finishing() {
		return c.extendFinish(now), c.hasPending()
	}
	until := c.idleUntil(limits)
	return until, now.Before(until)
}

// recheckIdle has a connection that waits for a request look up, after idleGrace, how long it may.
func (c *conn) recheckIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading && !c.lingers && c.finishBy.IsZero() {
		_ = c.raw.SetReadDeadline(time.Now().Add(idleGrace))
	}
}

// closed reports whether the connection accepts no more requests.
func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// hasPending reports whether any request of the connection has not been answered yet.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// idleUntil returns the time at which the connection's idle timeout expires. A connection with a pending request is not
// idle, so its timeout begins anew.
func (c *conn) idleUntil(limits Limits) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		return time.Now().Add(limits.IdleTimeout)
	}
	return c.lastAnswered.Add(limits.IdleTimeout)
}

// unstarted returns the number of requests that have been read but whose handler has not been started.
func (c *conn) unstarted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.pending {
		if !x.started {
			n++
		}
	}
	return n
}

// appendBlocked appends the labels of the requests whose answers wait for their turn.
func (c *conn) appendBlocked(labels []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.pending {
		if i > 0 && x.blocked {
			labels = append(labels, x.label)
		}
	}
	return labels
}

// releaseBlocked cancels the requests without an answer for which later answers wait.
func (c *conn) releaseBlocked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseBlockedLocked()
}

func (c *conn) releaseBlockedLocked() {
	last := len(c.pending) - 1
	for last > 0 && !c.pending[last].holdsAnswer() {
		last--
	}
	for i := range last {
		if x := c.pending[i]; x.started && !x.blocked && !x.begun {
			x.cancel(errHoldsUp)
		}
	}
}

// refuse sends an error answer for a request that could not be read or is not accepted, after the answers of the requests
// before it, and closes the connection. h is the request's header, nil if it could not be read. A status of 0 means that
// the caller has gone: the connection is then closed without an answer.
func (c *conn) refuse(h http.Header, status int, bad *fault.Error) {
	if status == 0 {
		c.shutdown(errCallerGone)
		return
	}
	c.s.inFlight.Add()
	defer c.s.inFlight.Done()
	x := c.newExchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	x.started = true
	if !c.enqueue(x) || !x.await() {
		return
	}
	c.s.onError(x, h, status, bad)
	x.finish()
}

// accept enqueues a request and starts the pending requests that may run. memory is what is reserved for the request. It returns
// false when the connection accepts no more requests.
func (c *conn) accept(req *http.Request, memory held) bool {
	x := c.newExchange(req)
	x.memory = memory
	if !c.enqueue(x) {
		memory.release()
		return false
	}
	c.startRunnable()
	return !req.Close
}

// enqueue appends a request to pending, waiting while maxPending requests are there. It returns false when the connection
// accepts no more requests.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPending && !c.closing && c.ctx.Err() == nil {
		c.pendingFreed.Wait()
	}
	if c.closing || c.ctx.Err() != nil {
		return false
	}
	c.pending = append(c.pending, x)
	if len(c.pending) == 1 {
		close(x.turn)
	}
	return true
}

// startRunnable starts the pending requests that may run: safe requests run concurrently, any other request runs alone.
func (c *conn) startRunnable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.pending {
		alone := !x.safe() || i > 0 && !c.pending[i-1].safe()
		if c.closing || i > 0 && alone {
			return
		}
		if !x.started {
			x.started = true
			c.s.inFlight.Add()
			go x.run()
		}
	}
}

// advance removes the answered request from pending and lets the next answer be written. closes is set if the answer was
// the connection's last.
func (c *conn) advance(closes bool) {
	c.mu.Lock()
	c.pending = c.pending[1:]
	c.lastAnswered = time.Now()
	if len(c.pending) > 0 && !closes {
		close(c.pending[0].turn)
	}
	c.pendingFreed.Broadcast()
	c.mu.Unlock()
	if closes {
		c.linger()
		return
	}
	c.startRunnable()
}

// decideClose decides, when an answer is started, whether it is the connection's last: it is when the caller or the handler
// asks for that (wantsClose), or when the server is draining and no other request of the connection is pending.
func (c *conn) decideClose(x *exchange, wantsClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.begun = true
	if wantsClose || x.req.Close || c.s.isDraining() && len(c.pending) == 1 {
		c.closing = true
	}
	return c.closing
}

// linger closes the connection's sending side only, so that the caller can read its last answer: closing a socket that
// holds unread bytes resets the connection, and the caller would lose the answer.
func (c *conn) linger() {
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The goroutine that reads closes the connection at this deadline at the latest.
	c.lingers, c.lingerEnd = true, time.Now().Add(lingerTimeout)
	_ = c.raw.SetReadDeadline(c.lingerEnd)
}

// setReadDeadline sets the read deadline, unless the connection is lingering: it then has its final deadline. While the
// server stops, the deadline is finishBy at the latest.
func (c *conn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingers {
		return
	}
	if !c.finishBy.IsZero() && (at.IsZero() || at.After(c.finishBy)) {
		at = c.finishBy
	}
	_ = c.raw.SetReadDeadline(at)
}

// shutdown closes the connection at once. A cause that is not nil cancels the connection's requests in flight.
func (c *conn) shutdown(cause error) {
	if cause != nil {
		c.cancel(cause)
	}
	_ = c.raw.Close()
	c.mu.Lock()
	c.closing = true
	c.pendingFreed.Broadcast()
	c.mu.Unlock()
}

// abort resets the connection, so that the caller cannot take a truncated answer for a complete one.
func (c *conn) abort() {
	if t, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	c.shutdown(errCallerGone)
}
