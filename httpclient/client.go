package httpclient

import (
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
)

const (
	connectTimeout   = time.Second
	idleConnsPerHost = 64
	idleConnTimeout  = 30 * time.Second

	// A read that waits for a change of the platform's store says nothing for seconds. These find a dead path under it
	// in about two and a half, so that a change is still in force in time once the path is back.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Tune sets the HTTP client that httpc uses: no redirects followed, nothing decompressed, no proxy from the
// environment, connections kept for reuse, and no log lines of its own. A program calls it once, before it serves.
func Tune() {
	logx.Disable()
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	http.DefaultTransport = &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}
