package memory

import "net"

// SocketBytes is what the system may hold of a connection each way, in bytes, unread and unsent: at 3 ms to the other side it lets 20 MB a
// second pass. By itself it grows to megabytes a connection, beside every budget.
const SocketBufferBytes = 64 << 10

// BoundSocket has the system hold no more than SocketBytes of a connection each way; where it cannot, the connection works all the same.
func LimitSocketBuffers(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(SocketBufferBytes)
	_ = tcp.SetWriteBuffer(SocketBufferBytes)
}
