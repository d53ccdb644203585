package peer

import (
	"net"
	"sync/atomic"
)

// countingConn adds the bytes read from and written to a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n)) //nolint:gosec // counts are not negative
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n)) //nolint:gosec // counts are not negative
	return n, err
}
