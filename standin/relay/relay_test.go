package relay

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// echoServer answers each line with the same line; it returns its address.
func echoServer(t *testing.T) string {
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
				for lines := bufio.NewScanner(c); lines.Scan(); {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a line and reports whether it came back within a limit.
func ask(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("x\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 8))
	return err == nil
}

// unacknowledged returns the number of segments that a connection has sent and its peer has not acknowledged.
func unacknowledged(t *testing.T, c net.Conn) uint32 {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	if err := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		t.Fatal(err)
	}
	return info.Unacked
}

// TestSilencedConnectionGivesNoSign checks that a silenced connection neither answers nor acknowledges nor ends, and that new
// connections work.
func TestSilencedConnectionGivesNoSign(t *testing.T) {
	p, err := New(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := dial()
	if !ask(t, old, time.Second) {
		t.Fatal("open connection: got no answer, want one")
	}
	if err := p.Silence(); err != nil {
		t.Fatal(err)
	}
	if ask(t, old, 300*time.Millisecond) {
		t.Error("silenced connection: got an answer, want none")
	}
	if unacknowledged(t, old) == 0 {
		t.Error("silenced connection: got everything acknowledged, want nothing")
	}
	_ = old.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := old.Read(make([]byte, 8)); !os.IsTimeout(err) {
		t.Errorf("silenced connection: got %v, want it open", err)
	}
	if !ask(t, dial(), time.Second) {
		t.Error("new connection: got no answer, want one")
	}
}
