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
	// uncountedLines is the number of lines up to which a head that fits the read buffer takes no reservation, so that ordinary requests
	// are read while the memory is used up. uncountedLinesAhead is the same for a request that was sent ahead.
	uncountedLines, uncountedLinesAhead = 32, 8
)

var errHeadMemory = fault.New(fault.MemorySpent, "header", "the node holds as much as it may for its callers")

// headMemory reserves the memory that the parsing of a request's head takes, before the bytes are parsed: many short lines take
// several times their size.
type headMemory struct {
	reservation *memory.Reservation
	// uncountedLines is how many lines take no reservation, reserved how much was reserved.
	uncountedLines, reserved int
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
	if h.size <= readBuffer && h.lines <= h.uncountedLines || need <= h.reserved {
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
	h.uncountedLines = uncountedLines
	if c.hasPending() {
		h.uncountedLines = uncountedLinesAhead
	}
	arrived, _ := c.r.Peek(c.r.Buffered())
	c.limit.observeBy(h.add)
	return h.add(arrived)
}
