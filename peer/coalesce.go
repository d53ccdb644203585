package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

// The parts of a yamux header that a joined connection looks at: the version, the type, two bytes of flags, four of the
// stream and four of the length.
const (
	muxHeader       = 12
	muxTypeAt       = 1
	muxFlagsAt      = 2
	muxLengthAt     = 8
	muxData         = 0
	muxWindowUpdate = 1
	muxOpen         = 1 | 2 // a stream is opened, or that is acknowledged
)

const (
	// holdLimit bounds how long the opening of a stream waits for what is said on it first: much longer than a node takes to
	// answer an offer, and short beside the time in which an offer must be answered.
	holdLimit = 2 * time.Millisecond
	// mostJoined is the largest buffer that is kept between two writes, in bytes.
	maxKeptBuffer = 64 << 10
)

// joined is a connection under yamux, which writes each header and its body by themselves. It writes the two together, and
// the opening of a stream together with what is said on it first: of the twelve writes of an exchange, each a system call here
// and a wake-up at the other side, six are left (TestWritesOfAnExchange).
type coalescingConn struct {
	net.Conn

	mu sync.Mutex
	// held is what waits for the next write, body how many bytes of a body are still to come before it may go.
	buffered []byte
	bodyLeft int
	// timer flushes what is held for nothing; err is why a flush by it has failed.
	timer *time.Timer
	err   error
}

func newCoalescingConn(c net.Conn) *coalescingConn {
	j := &coalescingConn{Conn: c}
	j.timer = time.AfterFunc(time.Hour, j.flushOpening)
	j.timer.Stop()
	return j
}

// Write implements net.Conn; what it holds counts as written, as what a socket buffers does.
func (j *coalescingConn) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return 0, j.err
	}
	waits := j.shouldHold(b)
	if len(j.buffered) == 0 && !waits {
		return j.Conn.Write(b)
	}
	j.buffered = append(j.buffered, b...)
	if waits {
		return len(b), nil
	}
	j.timer.Stop()
	if err := j.flush(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// waits tells whether a piece is written together with the next one.
func (j *coalescingConn) shouldHold(b []byte) bool {
	if j.bodyLeft > 0 {
		j.bodyLeft -= len(b)
		return false
	}
	if len(b) != muxHeader {
		return false
	}
	length := binary.BigEndian.Uint32(b[muxLengthAt:])
	switch b[muxTypeAt] {
	case muxData:
		j.bodyLeft = int(length)
		return length > 0
	case muxWindowUpdate:
		if binary.BigEndian.Uint16(b[muxFlagsAt:])&muxOpen == 0 {
			return false
		}
		j.timer.Reset(holdLimit)
		return true
	}
	return false
}

// flush writes what is held; the lock is held.
func (j *coalescingConn) flush() error {
	_, err := j.Conn.Write(j.buffered)
	j.buffered = j.buffered[:0]
	if cap(j.buffered) > maxKeptBuffer {
		j.buffered = nil
	}
	return err
}

// expire writes an opening on which nothing was said yet; one with a body under way goes with that.
func (j *coalescingConn) flushOpening() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.bodyLeft == 0 && len(j.buffered) > 0 {
		j.err = j.flush()
	}
}

// Close implements net.Conn.
func (j *coalescingConn) Close() error {
	j.timer.Stop()
	return j.Conn.Close()
}
