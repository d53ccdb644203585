package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestNamesOfFieldsAreTokens guards against answers that are passed on with a field whose name is none: each byte that is not allowed
// in a name is put at its beginning, in it and at its end.
func TestNamesOfFieldsAreTokens(t *testing.T) {
	for b := range 256 {
		for _, name := range []string{"?X", "X?Y", "X?"} {
			field := bytes.ReplaceAll([]byte(name), []byte("?"), []byte{byte(b)})
			head := append(append([]byte("HTTP/1.1 200 OK\r\n"), field...), []byte(": v\r\nContent-Length: 0\r\n\r\n")...)
			answer, err := parseHead(t, head)
			if err != nil {
				continue
			}
			for got := range answer.Header {
				for _, c := range []byte(got) {
					if c <= ' ' || c >= 0x7f {
						t.Errorf("byte %#x in %q: got the field %q passed on, want the answer given up", b, name, got)
					}
				}
			}
		}
	}
}

// parseHead reads a head as an endpoint would write it.
func parseHead(t *testing.T, head []byte) (*http.Response, error) {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Write(head)
		_ = far.Close()
	}()
	c := newConn(near, "")
	c.r = bufio.NewReader(c.head)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return c.readHead(ctx, Request{Method: http.MethodGet})
}
