package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// earlyEndpoint answers each request before it has read the body, without a length, and ends the connection by end.
func earlyEndpoint(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestResetUnderUploadEndsNoAnswer guards against an answer without a length that is taken for whole though the endpoint has reset
// the connection: the writer of a long request learns of the reset, and the reader sees an ordinary end.
func TestResetUnderUploadEndsNoAnswer(t *testing.T) {
	const tries = 10
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		want error
	}{
		{"reset", func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) }, io.ErrUnexpectedEOF},
		{"request read, then closed", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, nil},
	} {
		address := earlyEndpoint(t, c.end)
		for _, size := range []int64{64 << 10, 1 << 20, 16 << 20} {
			for range tries {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := NewPool().Do(ctx, Request{
					Address: address, Method: http.MethodPost, Target: "/", Host: "x", Body: strings.NewReader(strings.Repeat("b", int(size))), Length: size,
				})
				if err != nil {
					// The reset may come before the answer was read.
					cancel()
					continue
				}
				body, err := io.ReadAll(resp)
				if whole := err == nil; whole != (c.want == nil) {
					t.Errorf("%s, upload of %d bytes: got %q and %v, want it whole: %v", c.name, size, body, err, c.want == nil)
				}
				resp.Close()
				cancel()
			}
		}
	}
}
