package pipeline

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/lynxplank/lynxplank/memory"
)

// TestLongHeadsTakeMemory guards against heads of requests that take memory beside the budget: a head that is longer than the read
// buffer is refused as not run when it does not fit, and what it takes is released with its answer.
func TestLongHeadsTakeMemory(t *testing.T) {
	f := start(t)
	for _, c := range []struct{ field, budget, want int }{
		{100, 0, http.StatusOK},
		{readBuffer + 500, 0, http.StatusServiceUnavailable},
		{readBuffer + 500, 1 << 20, http.StatusOK},
		{readBuffer + 2000, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		f.mu.Lock()
		f.budget = memory.New(int64(c.budget))
		f.mu.Unlock()
		f.dial(t)
		if _, err := fmt.Fprintf(f.conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-A: %s\r\n\r\n", strings.Repeat("a", c.field)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(f.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.StatusCode; got != c.want {
			t.Errorf("field of %d bytes, %d bytes of memory: got %d, want %d", c.field, c.budget, got, c.want)
		}
		for f.server.InFlight() > 0 {
			continue
		}
		if use := f.budget.Usage(); use.Used > 0 {
			t.Errorf("field of %d bytes: got %d bytes held after the answer, want 0", c.field, use.Used)
		}
	}
}
