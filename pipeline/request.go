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
	// readBuffer is what a connection reads ahead, in bytes: as much as net/http's server does.
	readBuffer = 4 << 10
)

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

// readRequest reads one request with its whole body, and returns what that holds of the node's memory. Of a failure it returns the status
// that HTTP gives it, 0 when nobody is there to read an answer.
func (c *conn) readRequest(limits Limits) (*http.Request, *memory.Reservation, int, *fault.Error) {
	c.readUntil(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, statusOf(err), fault.Wrap(err, fault.BadRequest, "request", "request cannot be read")
	}
	if bad := checkRequest(req); bad != nil {
		return req, nil, http.StatusBadRequest, bad
	}
	if req.ContentLength > limits.BodyBytes {
		return req, nil, http.StatusRequestEntityTooLarge, tooLarge()
	}
	hold := c.s.hold(req.Header)
	status, bad := c.takeBody(req, hold, limits)
	if bad != nil {
		hold.Release()
		return req, nil, status, bad
	}
	c.readUntil(time.Time{})
	req.TransferEncoding = nil
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, hold, 0, nil
}

// takeBody reads a request's body once there is room for it; a failure is as that of readRequest.
func (c *conn) takeBody(req *http.Request, hold *memory.Reservation, limits Limits) (int, *fault.Error) {
	if req.ContentLength > 0 && !hold.Grow(int(req.ContentLength)) {
		return http.StatusServiceUnavailable, memorySpent()
	}
	if httpguts.HeaderValuesContainsToken(req.Header["Expect"], "100-continue") && !c.working() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, errGone
		}
	}
	body, status, bad := c.readBody(req, hold, limits)
	if bad != nil {
		return status, bad
	}
	req.Body = &Body{Reader: bytes.NewReader(body), whole: body}
	req.ContentLength = int64(len(body))
	return 0, nil
}

// Body is a request's body, which has been read whole.
type Body struct {
	*bytes.Reader
	whole []byte
}

// Close implements io.Closer.
func (*Body) Close() error { return nil }

// Whole returns all of it, which stays the body's own.
func (b *Body) Whole() []byte { return b.whole }

func memorySpent() *fault.Error {
	return fault.New(fault.MemorySpent, "body", "the node holds as much as it may for its callers")
}

func tooLarge() *fault.Error { return fault.New(fault.BodyTooLarge, "body", "the body is too large") }

// statusOf is the status for a request that could not be read, 0 when the caller has left.
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

// readBody reads the whole body; each part must come within the header's time. Room for a body that states no length is taken as it comes.
func (c *conn) readBody(req *http.Request, hold *memory.Reservation, limits Limits) ([]byte, int, *fault.Error) {
	if req.ContentLength == 0 {
		return nil, 0, nil
	}
	var body []byte
	if req.ContentLength > 0 {
		body = make([]byte, 0, req.ContentLength)
	}
	buf := make([]byte, readBuffer)
	for {
		c.limit.left = limits.BodyBytes + readBuffer
		c.readUntil(time.Now().Add(limits.HeaderTimeout))
		n, err := req.Body.Read(buf)
		body = append(body, buf[:n]...)
		if int64(len(body)) > limits.BodyBytes {
			return nil, http.StatusRequestEntityTooLarge, tooLarge()
		}
		if req.ContentLength < 0 && !hold.Grow(n) {
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
