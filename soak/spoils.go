package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// spoilSettings tell nodes how much memory they have.
	spoilSettings = "memory: {host: 284MiB, share: 0.15}\n"
	// spoilsSeed keeps the draws of spoiled answers apart from those of other actions.
	spoilsSeed = 1 << 47
	// mostResident is the most memory, in MB, that a node may hold; with the race detector it needs several times as much.
	mostResident, mostResidentRace = 284, 900
	// memoryLook is the time between two looks at it.
	memoryLook = 20 * time.Millisecond
)

// PlanSpoils draws n times in which an endpoint answers with bytes that have no end.
func PlanSpoils(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, spoilsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	ways, plan := backend.Spoils(), make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.For = Endpoint, time.Second+time.Duration(r.Int64N(int64(longest)))
		a.Behaviour = backend.Behaviour{WorkMillis: normalWork, SpoilPercent: 2 + r.IntN(50), Spoil: ways[r.IntN(len(ways))]}
		plan = append(plan, a)
	}
	return plan
}

// watchMemory looks at the memory of the nodes' processes until ctx ends. A node that holds more than it has is told, and ended, so
// that it takes no memory from others.
func (r *run) watchMemory(ctx context.Context) {
	most := mostResident
	if r.cfg.Race {
		most = mostResidentRace
	}
	for ctx.Err() == nil {
		time.Sleep(memoryLook)
		for i, m := range r.fleet.Members {
			// A process that is being ended or started is looked at next time.
			if !r.procs[i].TryLock() {
				continue
			}
			held := residentOf(m)
			r.mu.Lock()
			r.report.MostResident = max(r.report.MostResident, held)
			r.mu.Unlock()
			if held > most {
				r.breaks("memory: node %s holds %d MB of %d", m.Host, held, most)
				r.restart(Action{Kind: KillNode, On: i}, m, m.KillNode)
			}
			r.procs[i].Unlock()
		}
	}
}

// residentOf returns the memory of a node's process in MB, 0 if it cannot be read.
func residentOf(m *demo.Member) int {
	if !m.Running() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.NodePID()))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Fscan(strings.NewReader(string(text)), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
