package httpclient

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"golang.org/x/sys/unix"
)

const (
	connectTimeout   = time.Second
	idleConnsPerHost = 64
	idleConnTimeout  = 30 * time.Second

	// A read that waits for a change of the platform's store says nothing for seconds. Keep-alive probes find a dead path
	// under it; the kernel counts their times in whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// ackTimeout bounds the time for which sent bytes are not acknowledged: keep-alive probes are not sent meanwhile.
	ackTimeout = 3 * time.Second
)

// Tune sets the HTTP client that httpc uses: no redirects followed, nothing decompressed, no proxy from the
// environment, connections kept for reuse, and no log lines of its own. A program calls it once, before it serves.
func Tune() {
	logx.Disable()
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}, Control: limitAcknowledgement}
	http.DefaultTransport = &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

// limitAcknowledgement has the kernel end a connection on which sent bytes or keep-alive probes are not acknowledged for
// ackTimeout.
func limitAcknowledgement(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
