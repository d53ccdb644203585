package demo

import "testing"

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
