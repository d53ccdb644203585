package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 4 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	// head bounds the bytes that r reads from Conn for the head of one answer.
	head    *headReader
	r       *bufio.Reader
	address string
	// idleSince and idleLimit say how long it may still be used again.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn, address string) *conn {
	head := &headReader{r: c}
	return &conn{Conn: c, head: head, r: bufio.NewReaderSize(head, readBuffer), address: address}
}

// quiet tells whether a kept connection is open and nothing has come on it that nobody asked for.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
