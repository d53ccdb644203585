package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

const (
	// MaxHead is the size of the longest head of an answer that is read, in bytes.
	MaxHead = 64 << 10
	// headMemory is how much memory the parsing of the longest head may take, in bytes: short fields take several times their size.
	headMemory = 4 * MaxHead
	// protocolPrefix begins every answer.
	protocolPrefix = "HTTP/"
)

// ErrHeadTooLong is the cause of an answer that is given up because its head is longer than MaxHead.
var ErrHeadTooLong = fault.New(fault.EndpointCut, "head", fmt.Sprintf("the head of the answer is longer than %d bytes", MaxHead))

// errNoAnswer is the cause of an answer that is given up at its first bytes.
var errNoAnswer = fault.New(fault.EndpointCut, "head", "the bytes are no HTTP answer")

// headReader reads from a connection. While a head is being read, it bounds the bytes and reserves memory for them.
//
// Invariant: whatever an endpoint sends, its answer takes no more memory than the connection's read buffer and what is
// reserved for it.
type headReader struct {
	r io.Reader
	// bounded is set while a head is read. read is how many bytes of it have been read.
	bounded bool
	read    int
	// reservation counts the memory for a head that is longer than the read buffer, reserved how much that is. ctx ends the wait
	// for it.
	reservation *memory.Reservation
	reserved    int
	ctx         context.Context //nolint:containedctx // it lasts as long as the request whose answer is read
	// failed is the error of the latest Read, nil if it had none.
	failed error
}

// begin bounds what is read from here on as one head.
func (h *headReader) begin(ctx context.Context, reservation *memory.Reservation) {
	h.bounded, h.read, h.failed, h.ctx, h.reservation = true, 0, nil, ctx, reservation
}

// end lifts the bound. The head itself stays reserved.
func (h *headReader) end() {
	h.reservation.Shrink(max(h.reserved-h.read, 0))
	h.bounded, h.reserved, h.ctx, h.reservation = false, 0, nil, nil
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (n int, err error) {
	if !h.bounded {
		return h.r.Read(b)
	}
	n, err = h.readBounded(b)
	h.failed = err
	return n, err
}

func (h *headReader) readBounded(b []byte) (int, error) {
	if h.read >= MaxHead {
		return 0, ErrHeadTooLong
	}
	n, err := h.r.Read(b[:min(len(b), MaxHead-h.read)])
	h.read += n
	if h.read <= readBuffer || n == 0 {
		return n, err
	}
	if err := h.reserve(); err != nil {
		return 0, err
	}
	return n, err
}

// reserve takes the memory for a long head, and waits while there is none.
//
// Invariant: a head has all that it needs before more of it is read, so heads that wait hold nothing that others wait for.
func (h *headReader) reserve() error {
	for h.reserved == 0 {
		released := h.reservation.Released()
		if h.reservation.Grow(headMemory) {
			h.reserved = headMemory
			return nil
		}
		select {
		case <-released:
		case <-h.ctx.Done():
			return fault.Wrap(h.ctx.Err(), fault.MemorySpent, "head", "the memory budget has no room for the head of the answer")
		}
	}
	return nil
}

// readHead reads the head of the next answer on the connection. The parser's own errors quote what the endpoint has written, and
// hide why no more of it was read.
func (c *conn) readHead(ctx context.Context, r Request) (*http.Response, error) {
	c.head.begin(ctx, r.Reservation)
	defer c.head.end()
	first, err := c.r.Peek(len(protocolPrefix))
	switch {
	case err != nil:
		return nil, err
	case string(first) != protocolPrefix:
		return nil, errNoAnswer
	}
	answer, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
	switch {
	case err == nil:
		return answer, checkAnswer(answer)
	case c.head.failed != nil:
		return nil, c.head.failed
	}
	return nil, errNoAnswer
}
