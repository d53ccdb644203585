package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

// The layout of a yamux header, as far as coalescingConn reads it: the version (1 byte), the type (1 byte), the flags
// (2 bytes), the stream id (4 bytes) and the length (4 bytes).
const (
	muxHeader       = 12
	muxTypeAt       = 1
	muxFlagsAt      = 2
	muxLengthAt     = 8
	muxData         = 0
	muxWindowUpdate = 1
	muxOpen         = 1 | 2 // SYN or ACK: a stream is opened, or its opening acknowledged
)

const (
	// holdLimit bounds how long the opening of a stream is held for the first data on the stream: much longer than a
	// node takes to answer an offer, and short compared with the timeout for the answer to an offer.
	holdLimit = 2 * time.Millisecond
	// maxKeptBuffer is the largest buffer that is kept between two writes, in bytes.
	maxKeptBuffer = 64 << 10
)

// coalescingConn is the connection below a yamux session. yamux writes each header and each body separately;
// coalescingConn writes a header together with its body, and the opening of a stream together with the first data on
// it. This reduces the twelve writes of an exchange, each of which is a system call here and a wake-up at the peer, to
// six (TestWritesOfAnExchange).
type coalescingConn struct {
	net.Conn

	mu sync.Mutex
	// buffered are the bytes that wait for the next write, bodyLeft is the number of body bytes that must follow before
	// they may be written.
	buffered []byte
	bodyLeft int
	// timer flushes an opening after which no data followed in time; err is the error of a flush by the timer.
	timer *time.Timer
	err   error
}

// newCoalescingConn returns c with its writes coalesced.
func newCoalescingConn(c net.Conn) *coalescingConn {
	w := &coalescingConn{Conn: c}
	w.timer = time.AfterFunc(time.Hour, w.flushOpening)
	w.timer.Stop()
	return w
}

// Write implements net.Conn; buffered bytes count as written, as bytes in a socket buffer do.
func (w *coalescingConn) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	hold := w.shouldHold(b)
	if len(w.buffered) == 0 && !hold {
		return w.Conn.Write(b)
	}
	w.buffered = append(w.buffered, b...)
	if hold {
		return len(b), nil
	}
	w.timer.Stop()
	if err := w.flush(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// shouldHold reports whether b is buffered, to be written together with the next write, and updates bodyLeft.
func (w *coalescingConn) shouldHold(b []byte) bool {
	if w.bodyLeft > 0 {
		w.bodyLeft -= len(b)
		return false
	}
	if len(b) != muxHeader {
		return false
	}
	length := binary.BigEndian.Uint32(b[muxLengthAt:])
	switch b[muxTypeAt] {
	case muxData:
		w.bodyLeft = int(length)
		return length > 0
	case muxWindowUpdate:
		if binary.BigEndian.Uint16(b[muxFlagsAt:])&muxOpen == 0 {
			return false
		}
		w.timer.Reset(holdLimit)
		return true
	}
	return false
}

// flush writes the buffered bytes. The caller must hold w.mu.
func (w *coalescingConn) flush() error {
	_, err := w.Conn.Write(w.buffered)
	w.buffered = w.buffered[:0]
	if cap(w.buffered) > maxKeptBuffer {
		w.buffered = nil
	}
	return err
}

// flushOpening writes an opening of a stream after which no data followed yet; if a header waits for its body, the
// opening is written together with that body.
func (w *coalescingConn) flushOpening() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bodyLeft == 0 && len(w.buffered) > 0 {
		w.err = w.flush()
	}
}

// Close implements net.Conn.
func (w *coalescingConn) Close() error {
	w.timer.Stop()
	return w.Conn.Close()
}
