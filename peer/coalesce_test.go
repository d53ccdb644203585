package peer

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// countedWrites counts the writes to a connection.
type countedWrites struct {
	net.Conn
	count *atomic.Int64
}

func (w countedWrites) Write(b []byte) (int, error) {
	w.count.Add(1)
	return w.Conn.Write(b)
}

// writesOfExchange runs the message pattern of an exchange on one stream, two messages in each direction, and returns the
// number of writes to both connections.
func writesOfExchange(t *testing.T, wrap func(net.Conn) net.Conn) int64 {
	t.Helper()
	var count atomic.Int64
	a, b := tcpPair(t)
	cfg := Config{}.mux()
	client, err := yamux.Client(wrap(countedWrites{a, &count}), cfg)
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(wrap(countedWrites{b, &count}), cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = client.Close(), server.Close() }()
	served := make(chan error, 1)
	go func() { served <- echoTwice(server) }()
	stream, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := roundTripOnce(stream, stream); err != nil {
			t.Fatal(err)
		}
	}
	_ = stream.Close()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	// The last write may still be buffered for up to holdLimit.
	time.Sleep(5 * holdLimit)
	return count.Load()
}

// echoTwice accepts a stream and echoes two messages of four bytes.
func echoTwice(server *yamux.Session) error {
	stream, err := server.AcceptStream()
	if err != nil {
		return err
	}
	for range 2 {
		got := make([]byte, 4)
		if _, err := io.ReadFull(stream, got); err != nil {
			return err
		}
		if _, err := stream.Write(got); err != nil {
			return err
		}
	}
	return stream.Close()
}

// roundTripOnce writes a message and waits for its echo.
func roundTripOnce(w io.Writer, r io.Reader) error {
	if _, err := w.Write([]byte("ping")); err != nil {
		return err
	}
	got := make([]byte, 4)
	_, err := io.ReadFull(r, got)
	return err
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return a, b
}

// TestWritesOfAnExchange checks the number of writes of an exchange with and without coalescing.
func TestWritesOfAnExchange(t *testing.T) {
	if got, want := writesOfExchange(t, func(c net.Conn) net.Conn { return c }), int64(12); got != want {
		t.Errorf("writes without coalescing: got %d, want %d", got, want)
	}
	if got, limit := writesOfExchange(t, func(c net.Conn) net.Conn { return newCoalescingConn(c) }), int64(6); got > limit {
		t.Errorf("writes with coalescing: got %d, want at most %d", got, limit)
	}
}

// TestStreamOpeningIsFlushed checks that a stream to which nothing is written still opens at the peer: the opening is
// buffered only until the timer flushes it.
func TestStreamOpeningIsFlushed(t *testing.T) {
	a, b := tcpPair(t)
	client, err := yamux.Client(newCoalescingConn(a), Config{}.mux())
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(newCoalescingConn(b), Config{}.mux())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = client.Close(), server.Close() }()
	if _, err := client.OpenStream(); err != nil {
		t.Fatal(err)
	}
	opened := make(chan error, 1)
	go func() {
		_, err := server.AcceptStream()
		opened <- err
	}()
	select {
	case err := <-opened:
		if err != nil {
			t.Errorf("accept: got %v, want a stream", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("accept: got no stream within 10 s, want one")
	}
}
