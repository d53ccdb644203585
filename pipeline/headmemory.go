package pipeline

import (
	"bytes"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

const (
	// fieldMemory is how much memory a header line takes beside its own bytes, in bytes: as a field of the parsed request, and again as
	// one of the request that is passed on.
	fieldMemory = 512
	// uncountedHead is the memory of a head that takes no reservation, in bytes, so that ordinary requests are read while the memory is
	// used up.
	uncountedHead = readBuffer
)

var errHeadMemory = fault.New(fault.MemorySpent, "header", "the node holds as much as it may for its callers")

// headMemory reserves the memory that the parsing of a request's head takes, before the bytes are parsed: many short lines take
// several times their size.
type headMemory struct {
	reservation *memory.Reservation
	// uncounted is how much takes no reservation, reserved how much was reserved.
	uncounted, reserved int
	// size and lines count the head so far. hasText is set once the line that is being read is not empty, ended after the empty line.
	size, lines    int
	hasText, ended bool
}

// add counts the next bytes from the connection, of which those after the head do not matter. It fails if there is no memory for them.
func (h *headMemory) add(b []byte) error {
	for len(b) > 0 && !h.ended {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		h.hasText = h.hasText || len(bytes.Trim(line, "\r")) > 0
		h.size += len(b) - len(rest)
		if whole {
			h.lines++
			h.ended, h.hasText = !h.hasText, false
		}
		b = rest
	}
	need := h.size + h.lines*fieldMemory
	if need <= h.uncounted || need <= h.reserved {
		return nil
	}
	if !h.reservation.Grow(need - h.reserved) {
		return errHeadMemory
	}
	h.reserved = need
	return nil
}

// countHead has the bytes of the request that is read next counted, those that have arrived already included. It fails if there is no
// memory for these.
func (c *conn) countHead(h *headMemory) error {
	if !c.hasPending() {
		h.uncounted = uncountedHead
	}
	arrived, _ := c.r.Peek(c.r.Buffered())
	c.limit.observe = h.add
	return h.add(arrived)
}
