package demo

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/standin/backend"
)

// TestStopDuringStart guards against a node that ignores a stop signal sent right after its start. A library registers
// its own signal handler as the process starts: a signal that came before the node had registered its handler reached
// only the library's, and the node kept running. A signal that came a little later made the library's handler read data
// that the start was still writing, which the race detector reported.
//
// The test stops a node at moments spread over its start. Each time the process must exit, and no handler but the
// node's own may act on the signal.
func TestStopDuringStart(t *testing.T) {
	t.Parallel()
	const tries, step = 16, 20 * time.Millisecond
	f, err := NewFleet(binaries, t.TempDir(), 2, 1, "stop: {notice: 50ms}\n")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(service, backend.Behaviour{WorkMillis: 1}, "floor: 50%, false_ejections: 1"); err != nil {
		t.Fatal(err)
	}
	m := f.Members[1]
	if err := m.StopNode(); err != nil {
		t.Fatal(err)
	}
	for i := range tries {
		if err := f.StartNode(m); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i) * step)
		if err := m.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if ended, _ := m.Ended(time.Minute); !ended {
			t.Fatalf("stop %v after the start: got no end, want one", time.Duration(i)*step)
		}
	}
	text, err := os.ReadFile(f.LogFile(m))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(text), "DATA RACE"); got > 0 {
		t.Errorf("data races: got %d, want none", got)
	}
}
