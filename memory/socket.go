package memory

import "net"

// SocketBufferBytes is the size of a connection's receive and send buffers in the kernel. With 3 ms to the peer it
// allows 20 MB a second. By default the kernel grows them to megabytes a connection, which no budget would count.
const SocketBufferBytes = 64 << 10

// LimitSocketBuffers limits the kernel's buffers of a connection to SocketBufferBytes each way. Errors are ignored: the
// connection works without the limit.
func LimitSocketBuffers(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(SocketBufferBytes)
	_ = tcp.SetWriteBuffer(SocketBufferBytes)
}
