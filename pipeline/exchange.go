package pipeline

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// answerBuffer is how much of an answer's body is buffered before it is written, in bytes, so that a short answer is sent
// in one write.
const answerBuffer = 32 << 10

// headSize is enough for the head of most answers, in bytes.
const headSize = 512

// exchange is a request with its answer; it is the http.ResponseWriter that the handler gets.
type exchange struct {
	c      *conn
	req    *http.Request
	header http.Header
	// memory is what is reserved for the request.
	memory held
	// label names the request for Blocked; guarded by the connection's mu.
	label string
	// started is set once the request runs, blocked while its answer waits for its turn, begun once the answer is being
	// written; guarded by the connection's mu.
	started bool
	blocked bool
	begun   bool
	// ctx is the request's context, which cancel cancels.
	ctx    context.Context //nolint:containedctx // it lasts as long as the request
	cancel context.CancelCauseFunc
	// turn is closed when the answers before this one are finished, so that this one may be written.
	turn chan struct{}

	status int
	// buf holds the start of the body until the answer's head is written; headWritten is set then.
	buf         bytes.Buffer
	headWritten bool
	// chunked is set when the answer is sent in chunks, closes when it is the connection's last.
	chunked bool
	closes  bool
	// remaining is the number of body bytes still to be written of an answer with a length, -1 without one.
	remaining int64
	// err is the first write error; nothing is written after it.
	err error
}

func (c *conn) newExchange(req *http.Request) *exchange {
	x := &exchange{c: c, req: req, header: make(http.Header), turn: make(chan struct{}), remaining: -1}
	x.ctx, x.cancel = context.WithCancelCause(c.ctx)
	return x
}

// safe reports whether the request may run concurrently with other safe requests of its connection: it has a safe method
// and no body.
func (x *exchange) safe() bool {
	switch x.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return x.req.ContentLength == 0
	}
	return false
}

// run calls the handler and finishes the answer.
func (x *exchange) run() {
	defer x.c.s.inFlight.Done()
	defer x.memory.release()
	defer x.cancel(nil)
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		// With http.ErrAbortHandler the handler asks that the answer not look complete. Any other panic is a fault of the
		// handler and is reported; only this caller's connection is closed.
		if err, ok := r.(error); !ok || err != http.ErrAbortHandler { //nolint:errorlint // compared as net/http does
			x.c.s.onPanic(r, debug.Stack())
		}
		x.abort()
	}()
	x.c.s.handler.ServeHTTP(x, x.req.WithContext(x.ctx))
	x.finish()
}

// abort waits for the answers before this one and resets the connection.
func (x *exchange) abort() {
	if x.await() {
		x.c.abort()
	}
}

// await waits for the answer's turn. It returns false when the connection is closed because its caller has gone.
func (x *exchange) await() bool {
	x.setBlocked(true)
	defer x.setBlocked(false)
	select {
	case <-x.turn:
		return true
	case <-x.c.ctx.Done():
		return false
	}
}

// holdsAnswer reports whether an answer waits for its turn that is worth ending the work of the requests before it: a caller
// repeats a refused request elsewhere. The caller must hold the connection's mu.
func (x *exchange) holdsAnswer() bool {
	return x.blocked && x.status != 0 && x.status != http.StatusServiceUnavailable
}

func (x *exchange) setBlocked(blocked bool) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.blocked = blocked
	if blocked && x.c.s.isReleasing() {
		x.c.releaseBlockedLocked()
	}
}

// SetLabel names the request for Blocked. Handlers may call it on their http.ResponseWriter.
func (x *exchange) SetLabel(label string) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.label = label
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return 0, x.err
	}
	if !x.headWritten && x.buf.Len()+len(b) <= answerBuffer {
		return x.buf.Write(b)
	}
	if err := x.begin(false); err != nil {
		return 0, err
	}
	return len(b), x.writeBody(b)
}

// Flush writes the buffered part of the answer; http.ResponseController calls it.
func (x *exchange) Flush() {
	x.WriteHeader(http.StatusOK)
	_ = x.begin(false)
}

// begin writes the answer's head and the buffered part of its body. whole is set if nothing follows.
func (x *exchange) begin(whole bool) error {
	if x.headWritten || x.err != nil {
		return x.err
	}
	if !x.await() {
		x.err = errCallerGone
		return x.err
	}
	x.headWritten = true
	held := bytes.Clone(x.buf.Bytes())
	x.buf.Reset()
	x.setFraming(whole, len(held))
	var b bytes.Buffer
	b.Grow(headSize + len(held))
	x.writeHead(&b)
	if x.bodyless() {
		held = nil
	}
	if !x.checkLength(len(held)) {
		return x.err
	}
	x.writePart(&b, held)
	return x.write(b.Bytes())
}

// bodyless reports whether the answer has no body, whatever the handler writes.
func (x *exchange) bodyless() bool {
	return x.req.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
}

// setFraming decides how the caller recognizes the answer's end (by a length, by chunks or by the connection's close), and
// sets the header fields for it.
func (x *exchange) setFraming(whole bool, held int) {
	x.header.Del("Transfer-Encoding")
	wantsClose := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64)
	switch {
	case x.bodyless():
		x.remaining = -1
	case err == nil && length >= 0:
		x.remaining = length
	case whole:
		x.remaining = int64(held)
		x.header.Set("Content-Length", strconv.Itoa(held))
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		x.header.Set("Transfer-Encoding", "chunked")
	default:
		wantsClose = true
	}
	x.closes = x.c.decideClose(x, wantsClose || !x.req.ProtoAtLeast(1, 1))
	if x.closes {
		x.header.Set("Connection", "close")
	}
}

func (x *exchange) writeHead(b *bytes.Buffer) {
	writeStrings(b, "HTTP/1.1 ", strconv.Itoa(x.status), " ", http.StatusText(x.status), "\r\n")
	for name, values := range x.header {
		for _, v := range values {
			writeStrings(b, name, ": ", v, "\r\n")
		}
	}
	b.WriteString("\r\n")
}

// writeStrings appends strings without joining them first.
func writeStrings(b *bytes.Buffer, list ...string) {
	for _, s := range list {
		b.WriteString(s)
	}
}

// writePart appends a part of the body to b in the answer's framing. An empty part appends nothing, as an empty chunk would
// end the answer.
func (x *exchange) writePart(b *bytes.Buffer, part []byte) {
	if len(part) == 0 {
		return
	}
	if !x.chunked {
		x.countDown(len(part))
		b.Write(part)
		return
	}
	b.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
	b.Write(part)
	b.WriteString("\r\n")
}

// checkLength reports whether n more bytes of the body are within the answer's stated length, and sets err if not: the
// caller would take the excess for the start of the next answer.
func (x *exchange) checkLength(n int) bool {
	if x.remaining >= 0 && int64(n) > x.remaining {
		x.err = fault.Wrap(http.ErrContentLength, fault.Internal, "answer", "the body is longer than its Content-Length")
	}
	return x.err == nil
}

// countDown subtracts n written bytes from the remaining length of an answer with a length.
func (x *exchange) countDown(n int) {
	if x.remaining >= 0 {
		x.remaining -= int64(n)
	}
}

// writeStallTimeout is how long a caller may read nothing of its answer: without a limit, a caller that has gone would
// keep its request in flight for ever.
const writeStallTimeout = 15 * time.Second

// write sends bytes to the caller; after a failure it sends nothing more.
//
// It uses writeStallTimeout and not the operators' IdleTimeout: that bounds a connection that waits for a request, and an
// operator may shorten it while answers are being written.
func (x *exchange) write(b []byte) error {
	for x.err == nil && len(b) > 0 {
		_ = x.c.raw.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		n, err := x.c.raw.Write(b)
		b = b[n:]
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			x.err = fault.Wrap(err, fault.Canceled, "connection", "answer cannot be written")
		}
	}
	return x.err
}

// writeBody writes a part of the body after the head.
func (x *exchange) writeBody(b []byte) error {
	if x.bodyless() || len(b) == 0 {
		return x.err
	}
	if !x.chunked {
		if !x.checkLength(len(b)) {
			return x.err
		}
		x.countDown(len(b))
		return x.write(b)
	}
	var part bytes.Buffer
	x.writePart(&part, b)
	return x.write(part.Bytes())
}

// finish completes the answer and lets the next one be written.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	if x.begin(true) != nil {
		x.c.shutdown(errCallerGone)
		return
	}
	if x.chunked {
		_ = x.write([]byte("0\r\n\r\n"))
	}
	if x.remaining > 0 && !x.bodyless() || x.err != nil {
		x.c.abort()
		return
	}
	x.c.advance(x.closes)
}
