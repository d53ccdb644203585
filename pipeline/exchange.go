package pipeline

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

// heldAnswer is how much of an answer is put together before it is written, in bytes: a short one goes out in one write.
const heldAnswer = 32 << 10

// exchange is one request with its answer; it is the handler's http.ResponseWriter.
type exchange struct {
	c      *conn
	req    *http.Request
	header http.Header
	// hold is what the request's body holds of the node's memory, nil for nothing.
	hold *memory.Reservation
	// started is set once the request runs; the connection's lock guards it.
	started bool
	// turn is closed when the answer may be written.
	turn chan struct{}

	status int
	// buf holds the start of the body until the answer has begun, that is, until its head is written.
	buf   bytes.Buffer
	begun bool
	// chunked is set when chunks show the answer's end, closes when it is the connection's last.
	chunked bool
	closes  bool
	// left is what is still due of an answer with a length, -1 without one.
	left int64
	// err is the first failure to write; nothing is written after it.
	err error
}

func (c *conn) newExchange(req *http.Request) *exchange {
	return &exchange{c: c, req: req, header: make(http.Header), turn: make(chan struct{}), left: -1}
}

// safe tells whether the request may run beside the others of its connection.
func (x *exchange) safe() bool {
	switch x.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return x.req.ContentLength == 0
	}
	return false
}

// run has the handler answer the request.
func (x *exchange) run() {
	defer x.c.s.flight.Done()
	defer x.hold.Release()
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		// An abort is the handler's way to say that the answer must not look whole; anything else is a fault of its own,
		// which costs this caller its connection and nobody else anything.
		if err, ok := r.(error); !ok || err != http.ErrAbortHandler { //nolint:errorlint // compared as the library does
			x.c.s.onPanic(r, debug.Stack())
		}
		x.abort()
	}()
	x.c.s.handler.ServeHTTP(x, x.req.WithContext(x.c.ctx))
	x.finish()
}

// abort waits for the answers before it and resets the connection.
func (x *exchange) abort() {
	if x.await() {
		x.c.abort()
	}
}

// await waits for the answer's turn; false when the connection is gone.
func (x *exchange) await() bool {
	select {
	case <-x.turn:
		return true
	case <-x.c.ctx.Done():
		return false
	}
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
	if !x.begun && x.buf.Len()+len(b) <= heldAnswer {
		return x.buf.Write(b)
	}
	if err := x.begin(false); err != nil {
		return 0, err
	}
	return len(b), x.put(b)
}

// Flush writes what is held; http.ResponseController finds it.
func (x *exchange) Flush() {
	x.WriteHeader(http.StatusOK)
	_ = x.begin(false)
}

// begin writes the head and what is held; whole tells that nothing follows.
func (x *exchange) begin(whole bool) error {
	if x.begun || x.err != nil {
		return x.err
	}
	if !x.await() {
		x.err = errGone
		return x.err
	}
	x.begun = true
	held := bytes.Clone(x.buf.Bytes())
	x.buf.Reset()
	x.frame(whole, len(held))
	var b bytes.Buffer
	x.writeHead(&b)
	if x.bodyless() {
		held = nil
	}
	if !x.fits(len(held)) {
		return x.err
	}
	x.writePart(&b, held)
	return x.write(b.Bytes())
}

// bodyless tells whether the answer has no body, whatever the handler writes.
func (x *exchange) bodyless() bool {
	return x.req.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
}

// frame decides how the answer's end is shown.
func (x *exchange) frame(whole bool, held int) {
	x.header.Del("Transfer-Encoding")
	wants := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64)
	switch {
	case x.bodyless():
		x.left = -1
	case err == nil && length >= 0:
		x.left = length
	case whole:
		x.left = int64(held)
		x.header.Set("Content-Length", strconv.Itoa(held))
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		x.header.Set("Transfer-Encoding", "chunked")
	default:
		wants = true
	}
	x.closes = x.c.lastAnswer(x, wants || !x.req.ProtoAtLeast(1, 1))
	if x.closes {
		x.header.Set("Connection", "close")
	}
}

func (x *exchange) writeHead(b *bytes.Buffer) {
	b.WriteString("HTTP/1.1 " + strconv.Itoa(x.status) + " " + http.StatusText(x.status) + "\r\n")
	for name, values := range x.header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
}

// writePart adds a part of the body in the answer's framing; an empty part adds nothing, as an empty chunk would end it.
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

// fits tells whether so much more of the body is within the length that the answer states; more would be taken for the
// next answer.
func (x *exchange) fits(n int) bool {
	if x.left >= 0 && int64(n) > x.left {
		x.err = fault.Wrap(http.ErrContentLength, fault.Internal, "answer", "is longer than it says")
	}
	return x.err == nil
}

// countDown notes that a part of an answer with a length has been written.
func (x *exchange) countDown(n int) {
	if x.left >= 0 {
		x.left -= int64(n)
	}
}

// stallLimit is how long a caller may read nothing of its answer: one that is gone must not hold its request for ever.
const stallLimit = 15 * time.Second

// write sends bytes to the caller; after a failure it sends nothing more.
//
// Its limit is none of the operators' limits: these bound a connection that waits for a request, and may be shortened under answers.
func (x *exchange) write(b []byte) error {
	for x.err == nil && len(b) > 0 {
		_ = x.c.raw.SetWriteDeadline(time.Now().Add(stallLimit))
		n, err := x.c.raw.Write(b)
		b = b[n:]
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			x.err = fault.Wrap(err, fault.Canceled, "connection", "answer cannot be written")
		}
	}
	return x.err
}

// put writes a part of the body behind the head.
func (x *exchange) put(b []byte) error {
	if x.bodyless() || len(b) == 0 {
		return x.err
	}
	if !x.chunked {
		if !x.fits(len(b)) {
			return x.err
		}
		x.countDown(len(b))
		return x.write(b)
	}
	var part bytes.Buffer
	x.writePart(&part, b)
	return x.write(part.Bytes())
}

// finish ends the answer and lets the next one go.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	if x.begin(true) != nil {
		x.c.end(errGone)
		return
	}
	if x.chunked {
		_ = x.write([]byte("0\r\n\r\n"))
	}
	if x.left > 0 && !x.bodyless() || x.err != nil {
		x.c.abort()
		return
	}
	x.c.next(x.closes)
}
