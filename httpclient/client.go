package httpclient

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/lynxplank/lynxplank/dialer"
)

const (
	connectTimeout   = time.Second
	idleConnsPerHost = 64
	idleConnTimeout  = 30 * time.Second

	// ackTimeout ends a connection on which nothing is acknowledged, as under a read that waits for a change of the
	// platform's store.
	ackTimeout = 3 * time.Second

	// maxHead is the longest head of an answer that is read, in bytes.
	maxHead = 64 << 10
)

// Tune sets the HTTP client that httpc uses: heads of answers bounded, no redirects followed, nothing decompressed, no proxy from the
// environment, connections kept for reuse, and no log lines of its own. A program calls it once, before it serves.
func Tune() {
	logx.Disable()
	http.DefaultTransport = &http.Transport{
		DialContext:         dialer.New(connectTimeout, ackTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHead,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}
