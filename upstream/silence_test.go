package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/relay"
)

// TestSilentConnectionsAreGivenUp guards against requests that wait for their whole time on kept connections to an endpoint
// which went silent without a reset, although a new connection works: the first one finds out within seconds, and no other
// kept connection is tried after it.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	const kept, limit = 4, 2 * time.Second
	e, pool := newEndpoint(t), NewPool()
	p, err := relay.New(e.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	do := func() (time.Duration, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		start := time.Now()
		resp, err := pool.Do(ctx, Request{Address: p.Address(), Method: http.MethodGet, Target: "/", Host: "x"})
		if err != nil {
			return time.Since(start), err
		}
		_, err = io.Copy(io.Discard, resp)
		resp.Close()
		return time.Since(start), err
	}
	var opened sync.WaitGroup
	for range kept {
		opened.Go(func() { _, _ = do() })
	}
	for e.began.Load() < kept {
		time.Sleep(time.Millisecond)
	}
	for range 2 * kept {
		e.answers <- "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	}
	opened.Wait()
	if err := p.Silence(); err != nil {
		t.Fatal(err)
	}
	took, err := do()
	if got, want := fault.CodeOf(err), fault.EndpointCut; got != want || took > limit {
		t.Errorf("request on a silent connection: got %q after %v, want %q within %v", got, took, want, limit)
	}
	if took, err := do(); err != nil || took > limit {
		t.Errorf("next request: got %v after %v, want an answer on a new connection", err, took)
	}
}
