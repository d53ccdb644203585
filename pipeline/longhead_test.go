package pipeline

import (
	"fmt"
	"io"
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

// TestShortFieldsTakeMemory guards against heads of very many short lines that take a multiple of their size beside the budget: they
// are refused as not run when that does not fit, also when they come with the request before them, and are served when it does.
func TestShortFieldsTakeMemory(t *testing.T) {
	head := func(lines int) string {
		return "GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n"
	}
	for _, c := range []struct {
		name, sent    string
		budget        int
		answers, want int
	}{
		{"few lines", head(4), 0, 1, http.StatusOK},
		{"as many lines as ordinary requests have", head(29), 0, 1, http.StatusOK},
		{"many lines", head(100), 50 << 10, 1, http.StatusServiceUnavailable},
		{"many lines, room for them", head(100), 120 << 10, 1, http.StatusOK},
		{"many lines in a long head", head(1100), 500 << 10, 1, http.StatusServiceUnavailable},
		{"many lines behind a request", head(4) + head(100), 50 << 10, 2, http.StatusServiceUnavailable},
		{"a body of empty lines", head(4) + "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 16\r\n\r\n" + strings.Repeat("\n", 16), 8 << 10, 2, http.StatusOK},
	} {
		f := start(t)
		f.mu.Lock()
		f.budget = memory.New(int64(c.budget))
		f.mu.Unlock()
		f.dial(t)
		if _, err := fmt.Fprint(f.conn, c.sent); err != nil {
			t.Fatal(err)
		}
		got := 0
		for range c.answers {
			resp, err := http.ReadResponse(f.reader, nil)
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			got = resp.StatusCode
		}
		if got != c.want {
			t.Errorf("%s, %d bytes of memory: got %d, want %d", c.name, c.budget, got, c.want)
		}
		for f.server.InFlight() > 0 {
			continue
		}
		if use := f.budget.Usage(); use.Used > 0 {
			t.Errorf("%s: got %d bytes held after the answer, want 0", c.name, use.Used)
		}
	}
}
