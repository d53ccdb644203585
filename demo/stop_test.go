package demo

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/standin/backend"
)

// TestStopDuringStart tells of nodes that were stopped again right after their start, and went on: a library's handler, registered as the process
// starts, was the only one to get a signal that came before the node asked for it. One that came a little later made that handler read what the
// start was still writing (the race detector's word).
//
// The nodes here are stopped at moments spread over their start. Each ends, and no handler but the node's own acts on its signal.
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
