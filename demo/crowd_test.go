package demo

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// crowdSize is the number of connections that a crowd keeps, crowdRequests how many requests each of them sends in turn.
	crowdSize, crowdRequests = 120, 8
	// crowdHead is the size of each request's head in bytes, below the limit of the callers' listener.
	crowdHead = 60_000
	// crowdMemoryMB is the memory of a node's machine as its settings state it, which the process must not exceed.
	crowdMemoryMB = 160
	// crowdDescriptors bounds the descriptors that a node has open beside those of the crowd.
	crowdDescriptors = 200
	// crowdTimeout bounds one exchange of the crowd.
	crowdTimeout = 20 * time.Second
)

// crowdHeads returns heads of requests that are within the limits, by what they are made of.
func crowdHeads() map[string]string {
	begin := "GET /lookup HTTP/1.1\r\nHost: h\r\n" + header.Repeatable + ": yes\r\n" + header.Deadline + ": 5s\r\n"
	repeat := func(line func(i int) string) string {
		var b strings.Builder
		b.WriteString(begin)
		for i := 0; b.Len() < crowdHead-100; i++ {
			b.WriteString(line(i))
		}
		return b.String() + "\r\n"
	}
	return map[string]string{
		"distinct short fields":  repeat(func(i int) string { return fmt.Sprintf("a%x:\r\n", i) }),
		"the same empty field":   repeat(func(int) string { return "a:\r\n" }),
		"continued lines":        repeat(func(i int) string { return fmt.Sprintf("a%x: b\r\n c\r\n", i) }),
		"lines without a colon":  repeat(func(i int) string { return fmt.Sprintf("a%x\r\n", i) }),
		"names with odd letters": repeat(func(i int) string { return fmt.Sprintf("A!%x-b-C: '\r\n", i) }),
	}
}

// crowd sends a head again and again from many connections to a node, whatever the node answers.
func crowd(address, head string) {
	var callers sync.WaitGroup
	for range crowdSize {
		callers.Go(func() {
			for sent := 0; sent < crowdRequests; {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					sent++
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
				in := bufio.NewReader(conn)
				for open := true; open && sent < crowdRequests; sent++ {
					open = exchangeHead(conn, in, head)
				}
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
}

// exchangeHead sends a request and reads its answer, and reports whether the connection can be used again.
func exchangeHead(conn net.Conn, in *bufio.Reader, head string) bool {
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// peakMB returns the most memory that a process has held, in MB, and the descriptors that it has open.
func peakMB(t *testing.T, pid int) (peak, descriptors int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &peak); n == 1 {
			break
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return peak >> 10, len(open)
}

// TestCrowdsOfShortFieldsStayWithinMemory guards against callers that end a node by requests of legal size made of very many short
// or odd header lines.
func TestCrowdsOfShortFieldsStayWithinMemory(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../cmd/lynxplankd", "../cmd/lynxplankctl", "../cmd/lynxplank-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, head := range crowdHeads() {
		t.Run(name, func(t *testing.T) {
			fleet, err := NewFleet(bin, t.TempDir(), 2, 1, fmt.Sprintf("memory: {host: %dMiB, share: 0.15}\n", crowdMemoryMB))
			if err != nil {
				t.Fatal(err)
			}
			defer fleet.Close()
			if err := fleet.Start("desk", backend.Behaviour{WorkMillis: 4}, "floor: 50%"); err != nil {
				t.Fatal(err)
			}
			m := fleet.Members[0]
			if got := NewLoad([]string{m.Callers}).Send(Lookup, 0, 1)[0]; got.Told != "ran" {
				t.Fatalf("ordinary request before the crowd: got %+v, want it run", got)
			}
			conn, err := net.DialTimeout("tcp", m.Callers, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			if got, want := exchangeHead(conn, bufio.NewReader(conn), head), name != "lines without a colon"; got != want {
				t.Errorf("one such request alone: got a kept connection %v, want %v", got, want)
			}
			_ = conn.Close()
			crowd(m.Callers, head)
			for _, m := range fleet.Members {
				if ended, err := m.Ended(0); ended {
					t.Fatalf("node %s: got its end (%v), want it running", m.Host, err)
				}
				peak, descriptors := peakMB(t, m.NodePID())
				if peak > crowdMemoryMB {
					t.Errorf("node %s: got %d MB held at most, want at most %d", m.Host, peak, crowdMemoryMB)
				}
				if want := crowdSize + crowdDescriptors; descriptors > want {
					t.Errorf("node %s: got %d descriptors open, want at most %d", m.Host, descriptors, want)
				}
				t.Logf("node %s: %d MB, %d descriptors", m.Host, peak, descriptors)
			}
			if got := NewLoad([]string{m.Callers}).Send(Lookup, 1000, 1)[0]; got.Told != "ran" {
				t.Errorf("ordinary request after the crowd: got %+v, want it run", got)
			}
		})
	}
}
