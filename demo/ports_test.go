package demo

import (
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestFreePortsWhileProcessesStart guards against a fleet that cannot listen on a port which was free a moment before: a
// process that is being started inherits the socket with which that was found out.
func TestFreePortsWhileProcessesStart(t *testing.T) {
	addresses, err := FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(time.Second)
	var starts sync.WaitGroup
	defer starts.Wait()
	for range 4 {
		starts.Go(func() {
			for time.Now().Before(end) {
				_ = exec.Command("true").Run()
			}
		})
	}
	looks, failed := 0, 0
	for ; time.Now().Before(end); looks++ {
		if !isFree(addresses[0]) {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("free port found in use: got %d of %d looks, want none", failed, looks)
	}
}

// TestPortsAreClaimedOnce checks that a block which is held is given to nobody else: the lock counts by opened file, so
// that a second claim of this process meets it as another process would.
func TestPortsAreClaimedOnce(t *testing.T) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	seen := make(map[int]bool)
	next, until := ports.next, ports.until
	defer func() { ports.next, ports.until = next, until }()
	for range 3 {
		if err := claimBlock(); err != nil {
			t.Fatal(err)
		}
		if seen[ports.next] {
			t.Errorf("block of port %d: got it twice, want once", ports.next)
		}
		seen[ports.next] = true
	}
}
