package demo

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// Ports below the range that the kernel gives to outgoing connections, which could take a free one in between.
	firstPort = 12000
	// blockPorts is how many ports a process claims at once: a few fleets of five members take that many.
	blockPorts = 500
	blocks     = 40
)

// ports are those that this process has claimed.
var ports struct {
	mu sync.Mutex
	// locks hold the claims; they end with the process.
	locks []*os.File
	// next is the next port to try, until the first after its block.
	next, until int
}

// FreePorts returns ports of loopback that nobody listens on. No two calls return the same one, nor do calls of other
// processes of this machine that run at the same time; Unavailable when there are none left.
func FreePorts(n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	out := make([]string, 0, n)
	for len(out) < n {
		if ports.next == ports.until {
			if err := claimBlock(); err != nil {
				return nil, err
			}
		}
		address := "127.0.0.1:" + strconv.Itoa(ports.next)
		ports.next++
		if isFree(address) {
			out = append(out, address)
		}
	}
	return out, nil
}

// isFree reports whether nobody listens on an address.
//
// A process that was forked while the socket is open would hold it, and with it the port, until it executes its program.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// claimBlock takes a block of ports that no other process holds; the lock is held.
func claimBlock() error {
	for i := range blocks {
		block := (os.Getpid() + i) % blocks
		name := filepath.Join(os.TempDir(), fmt.Sprintf("lynxplank-ports-%d.lock", block))
		lock, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, name, "ports cannot be claimed")
		}
		if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = lock.Close()
			continue
		}
		ports.locks = append(ports.locks, lock)
		ports.next = firstPort + block*blockPorts
		ports.until = ports.next + blockPorts
		return nil
	}
	return fault.New(fault.Unavailable, "loopback", "every block of ports is claimed")
}
