package pipeline

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes, the same as in net/http's server.
	readBuffer = 4 << 10
)

// limitedReader fails once the bytes allowed for the current header or part of a body are used up.
type limitedReader struct {
	r io.Reader
	// read is how many bytes have been read since begin, allowed how many may be.
	read    int64
	allowed int64
	// observe, if set, is passed the bytes before they are returned, and may refuse them; refused is the error with which it did.
	// Readers above may drop the error of a read behind a part of a line, so that it is returned again.
	observe func(b []byte) error
	refused error
}

// observeBy has f observe the bytes from here on, nobody if it is nil.
func (l *limitedReader) observeBy(f func(b []byte) error) { l.observe, l.refused = f, nil }

// begin allows n bytes from here on.
func (l *limitedReader) begin(n int64) { l.read, l.allowed = 0, n }

var errTooLarge = fault.New(fault.BadRequest, "header", "the header is too large")

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.refused != nil {
		return 0, l.refused
	}
	if l.read >= l.allowed {
		return 0, errTooLarge
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.allowed-l.read)])
	l.read += int64(n)
	if l.observe != nil && n > 0 {
		if l.refused = l.observe(b[:n]); l.refused != nil {
			return 0, l.refused
		}
	}
	return n, err
}

// held is the memory reserved for a request: for its head, whose customer is not known while it is read, and for its body.
type held struct{ head, body *memory.Reservation }

// release releases both.
func (h held) release() {
	h.head.Release()
	h.body.Release()
}

// readRequest reads one request with its whole body, and returns the request and the memory reserved for it. limits are those that
// were in force when its first byte had arrived: a change meanwhile counts for the next one. On failure it returns the HTTP status to
// answer with, 0 when the caller has gone and cannot read an answer.
func (c *conn) readRequest(limits Limits) (*http.Request, held, int, *fault.Error) {
	reserved := held{head: c.s.reserveBody(http.Header{})}
	req, status, bad := c.readWith(&reserved, limits)
	if bad != nil {
		reserved.release()
		return req, held{}, status, bad
	}
	c.setReadDeadline(time.Time{})
	req.TransferEncoding = nil
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, reserved, 0, nil
}

// readWith reads a request and reserves the memory for it. It reports failures as readRequest does.
func (c *conn) readWith(reserved *held, limits Limits) (*http.Request, int, *fault.Error) {
	req, err := c.readHead(reserved.head, limits)
	if err != nil {
		if errors.Is(err, errHeadMemory) {
			return nil, http.StatusServiceUnavailable, errHeadMemory
		}
		return nil, statusOf(err), fault.Wrap(err, fault.BadRequest, "request", "request cannot be read")
	}
	if bad := checkRequest(req); bad != nil {
		return req, http.StatusBadRequest, bad
	}
	if req.ContentLength > limits.BodyBytes {
		return req, http.StatusRequestEntityTooLarge, tooLarge()
	}
	reserved.body = c.s.reserveBody(req.Header)
	status, bad := c.reserveAndReadBody(req, reserved.body, limits)
	return req, status, bad
}

// readHead reads the head of a request.
func (c *conn) readHead(reservation *memory.Reservation, limits Limits) (*http.Request, error) {
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.allowed = int64(limits.HeaderBytes) + readBuffer
	defer c.limit.observeBy(nil)
	if err := c.countHead(&headMemory{reservation: reservation}); err != nil {
		return nil, err
	}
	return http.ReadRequest(c.r)
}

// reserveAndReadBody reserves memory for a request's body and reads it. It reports failures as readRequest does.
func (c *conn) reserveAndReadBody(req *http.Request, reservation *memory.Reservation, limits Limits) (int, *fault.Error) {
	if req.ContentLength > 0 && !reservation.Grow(int(req.ContentLength)) {
		return http.StatusServiceUnavailable, memorySpent()
	}
	if httpguts.HeaderValuesContainsToken(req.Header["Expect"], "100-continue") && !c.hasPending() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, errCallerGone
		}
	}
	body, status, bad := c.readBody(req, reservation, limits)
	if bad != nil {
		return status, bad
	}
	req.Body = &Body{Reader: bytes.NewReader(body), whole: body}
	req.ContentLength = int64(len(body))
	return 0, nil
}

// Body is a request's body, which has been read completely before the request is handled.
type Body struct {
	*bytes.Reader
	whole []byte
}

// Close implements io.Closer.
func (*Body) Close() error { return nil }

// Whole returns all bytes of the body, also those read already. The caller must not change them.
func (b *Body) Whole() []byte { return b.whole }

func memorySpent() *fault.Error {
	return fault.New(fault.MemorySpent, "body", "the node holds as much as it may for its callers")
}

func tooLarge() *fault.Error { return fault.New(fault.BodyTooLarge, "body", "the body is too large") }

// statusOf returns the HTTP status for a request that could not be read, 0 when the caller has gone.
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

// checkRequest refuses requests that two HTTP implementations might interpret differently.
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

// readBody reads the whole body; each read must succeed within HeaderTimeout. For a body without a stated length, memory is
// reserved as its parts arrive.
func (c *conn) readBody(req *http.Request, reservation *memory.Reservation, limits Limits) ([]byte, int, *fault.Error) {
	if req.ContentLength == 0 {
		return nil, 0, nil
	}
	var body []byte
	if req.ContentLength > 0 {
		body = make([]byte, 0, req.ContentLength)
	}
	buf := make([]byte, readBuffer)
	for {
		c.limit.begin(limits.BodyBytes + readBuffer)
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
		n, err := req.Body.Read(buf)
		body = append(body, buf[:n]...)
		if int64(len(body)) > limits.BodyBytes {
			return nil, http.StatusRequestEntityTooLarge, tooLarge()
		}
		if req.ContentLength < 0 && !reservation.Grow(n) {
			return nil, http.StatusServiceUnavailable, memorySpent()
		}
		if err == io.EOF {
			return body, 0, nil
		}
		if err != nil {
			return nil, statusOf(err), fault.Wrap(err, fault.BadRequest, "body", "the body broke off")
		}
	}
}
