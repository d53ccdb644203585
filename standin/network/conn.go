package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// defaultWindow is how many bytes of one direction may be under way or unread before a writer waits.
const defaultWindow = 32 << 10

// Conn is one side of a connection.
type Conn struct {
	n             *Network
	local, remote netip.AddrPort
	in, out       *stream

	mu sync.Mutex
	// resets is set if Close resets the connection.
	resets bool
}

func newPair(n *Network, window int, a, b netip.AddrPort) (from, to *Conn) {
	ab, ba := newStream(n.delay, window), newStream(n.delay, window)
	return &Conn{n: n, local: a, remote: b, in: ba, out: ab}, &Conn{n: n, local: b, remote: a, in: ab, out: ba}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn. Bytes for a peer that has closed its side are answered with a reset.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	if err == nil && c.out.isUnread() {
		c.in.fail(syscall.ECONNRESET, time.Now().Add(2*c.n.delay))
	}
	return n, err
}

// Close implements net.Conn. It resets the connection if bytes that have arrived are unread.
func (c *Conn) Close() error {
	c.n.forget(c)
	c.mu.Lock()
	resets := c.resets
	c.mu.Unlock()
	if unread, ok := c.in.closeReader(); !ok {
		return net.ErrClosed
	} else if unread || resets {
		c.out.discard()
		c.out.fail(syscall.ECONNRESET, time.Now().Add(c.n.delay))
		return nil
	}
	c.out.closeWriter()
	return nil
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	c.out.closeWriter()
	return nil
}

// SetLinger has Close reset the connection if sec is 0.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = sec == 0
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. Bytes that have arrived can be read although it has passed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// segment is a part of a stream that can be read from a time on.
type segment struct {
	arrives time.Time
	bytes   []byte
}

// stream is one direction of a connection.
type stream struct {
	delay  time.Duration
	window int

	mu      sync.Mutex
	changed *sync.Cond
	// segments are the bytes that were written and not read, size is their number.
	segments []segment
	size     int
	// ends is when the end of the stream arrives, zero before it was sent. err is why the stream is broken, fails when the
	// reader learns of it.
	ends  time.Time
	err   error
	fails time.Time
	// silentAt is when the stream went silent, zero if it did not. cut is set while its packets are lost, lostAt is when the first
	// one that has not arrived was.
	silentAt time.Time
	cut      bool
	lostAt   time.Time
	// behind is when the last packet that was sent again arrives.
	behind                      time.Time
	writerClosed, readerClosed  bool
	readDeadline, writeDeadline time.Time
}

func newStream(delay time.Duration, window int) *stream {
	s := &stream{delay: delay, window: window}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// wakeAt wakes the goroutines that wait for a change at a time.
func (s *stream) wakeAt(t time.Time) { time.AfterFunc(time.Until(t), s.changed.Broadcast) }

func passed(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// arrived reports whether what arrives at t has arrived.
func (s *stream) arrived(t, now time.Time) bool {
	return passed(t, now) && (s.silentAt.IsZero() || !t.After(s.silentAt))
}

func (s *stream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case len(s.segments) > 0 && s.arrived(s.segments[0].arrives, now):
			return s.take(b), nil
		case s.err != nil && passed(s.fails, now):
			return 0, s.err
		case len(s.segments) == 0 && s.arrived(s.ends, now):
			return 0, io.EOF
		case passed(s.readDeadline, now):
			return 0, os.ErrDeadlineExceeded
		}
		s.changed.Wait()
	}
}

// take removes bytes of the first segment; the lock must be held.
func (s *stream) take(b []byte) int {
	first := &s.segments[0]
	n := copy(b, first.bytes)
	first.bytes = first.bytes[n:]
	if len(first.bytes) == 0 {
		s.segments = s.segments[1:]
	}
	s.size -= n
	s.changed.Broadcast()
	return n
}

func (s *stream) write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for {
		switch {
		case s.writerClosed:
			return written, net.ErrClosed
		case s.err != nil:
			return written, syscall.EPIPE
		case s.readerClosed:
			// The bytes are lost, as on the way to a socket that has been closed.
			return len(b), nil
		case len(b) == written:
			return written, nil
		}
		if n := min(len(b)-written, s.window-s.size); n > 0 {
			s.segments = append(s.segments, segment{arrives: s.arrival(), bytes: append([]byte(nil), b[written:written+n]...)})
			s.size += n
			written += n
			continue
		}
		if passed(s.writeDeadline, time.Now()) {
			return written, os.ErrDeadlineExceeded
		}
		s.changed.Wait()
	}
}

// isUnread reports whether the reader has closed its side.
func (s *stream) isUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerClosed
}

func (s *stream) setDeadline(deadline *time.Time, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*deadline = t
	if !t.IsZero() {
		s.wakeAt(t)
	}
	s.changed.Broadcast()
}

func (s *stream) closeWriter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerClosed {
		return
	}
	s.writerClosed, s.ends = true, s.arrival()
	s.changed.Broadcast()
}

// closeReader ends the reading and reports whether bytes that have arrived are unread; ok is false if it had ended before.
func (s *stream) closeReader() (unread, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerClosed {
		return false, false
	}
	s.readerClosed = true
	s.changed.Broadcast()
	return len(s.segments) > 0 && s.arrived(s.segments[0].arrives, time.Now()), true
}

// discard drops what has not arrived.
func (s *stream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, kept, size := time.Now(), 0, 0
	for kept < len(s.segments) && s.arrived(s.segments[kept].arrives, now) {
		size += len(s.segments[kept].bytes)
		kept++
	}
	s.segments, s.size, s.writerClosed = s.segments[:kept], size, true
}

// fail breaks the stream; its reader learns of it at a time, after the bytes that have arrived.
func (s *stream) fail(err error, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && !s.cut {
		// The reset is one packet, which is not sent again.
		s.err, s.fails = err, at
		s.wakeAt(at)
		s.changed.Broadcast()
	}
}

// setCut has the packets be lost from now on, or be sent again at the next retransmission.
func (s *stream) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	if cut || s.lostAt.IsZero() {
		return
	}
	at, now := s.lostAt, time.Now()
	for wait := firstRetransmission; at.Before(now); wait *= 2 {
		at = at.Add(wait)
	}
	at = at.Add(s.delay)
	for i := range s.segments {
		if s.segments[i].arrives.IsZero() {
			s.segments[i].arrives = at
		}
	}
	if s.writerClosed && s.ends.IsZero() {
		s.ends = at
	}
	s.lostAt, s.behind = time.Time{}, at
	s.wakeAt(at)
}

// arrival returns when a packet that is sent now arrives, zero if it is lost; the lock must be held. Packets stay in order.
func (s *stream) arrival() time.Time {
	now := time.Now()
	if s.cut {
		if s.lostAt.IsZero() {
			s.lostAt = now
		}
		return time.Time{}
	}
	at := now.Add(s.delay)
	if at.Before(s.behind) {
		at = s.behind
	}
	s.wakeAt(at)
	return at
}

func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentAt.IsZero() {
		s.silentAt = time.Now()
	}
}
