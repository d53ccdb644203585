package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes are sent on an idle connection after probeIdle, and repeated after probeInterval; the kernel counts
	// both in whole seconds. probeCount probes without an answer end the connection, or fewer once the acknowledgement
	// timeout has passed.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// New returns a dialer that waits for a connection for at most connect. The kernel ends a connection on which bytes or probes are
// not acknowledged for ack, with ETIMEDOUT.
func New(connect, ack time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ack.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
