package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

const (
	drawnHost    = "h1"
	drawnAddress = "10.0.0.1:80"
	drawnService = "desk"
	// drawnBeat is the time between two heartbeats, drawnRepeat between two reports of a leaving that is not acknowledged,
	// drawnGiveUp how long such an endpoint serves on.
	drawnBeat   = 1500 * time.Millisecond
	drawnRepeat = time.Second
	drawnGiveUp = 6 * time.Second
	// drawnAckLimit is how long an endpoint waits for an acknowledgement.
	drawnAckLimit = time.Second
	// drawnRead is the time between two reads of the store.
	drawnRead = 200 * time.Millisecond
	// drawnLength is how long faults are drawn, drawnCalm how long the host then runs without any.
	drawnLength = 40 * time.Second
	drawnCalm   = 12 * time.Second
	// drawnLongLength is the same for hosts whose endpoints share names.
	drawnLongLength = 2 * time.Minute
	// usedWithin is how long an endpoint may report, without faults of node and store, before the node uses it. Its heartbeats may
	// be late meanwhile.
	usedWithin = 20 * time.Second
	// maxClockStep bounds the offset of a host's time of day, checkInterval is the time between two looks at the registry.
	maxClockStep  = 5 * time.Second
	checkInterval = 50 * time.Millisecond
	// heartbeatRoute and leaveRoute are the places of these routes in platform.EndpointRoutes.
	heartbeatRoute, leaveRoute = 0, 1
)

// drawnHostRun is one host with its store, its node's processes and its endpoints, in virtual time.
type drawnHostRun struct {
	store *store.Store
	state *table.State

	mu      sync.Mutex
	random  *rand.Rand
	log     []string
	start   time.Time
	process *drawnProcess
	boot    *drawnBoot
	boots   map[string]*drawnBoot
	// sharedNames has boots start under the name of an earlier one, with start times; clockOffset is what the host's time of day
	// is ahead then.
	sharedNames bool
	clockOffset time.Duration
	// endChance is the probability that the node ends, for each look of disturb, crashChance that a boot ends without a word.
	endChance, crashChance float64
	// seen holds announcements that the store has held, as peers may still hold them.
	seen []table.HostInfo
	// faults is false in the calm time at the end.
	faults bool
	// lastFault is when a disturbance of the store or the node last began or ended, storeFaults counts those of the store that
	// last.
	lastFault   time.Time
	storeFaults int
	violations  []string
	calmAcks    int
}

// draw returns a random duration in a range.
func (d *drawnHostRun) draw(low, high time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

// chance returns true with a probability.
func (d *drawnHostRun) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < p
}

func (d *drawnHostRun) sayf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(fmt.Sprintf(format, args...))
}

// note adds a line to the log; the caller holds the lock.
func (d *drawnHostRun) note(line string) {
	d.log = append(d.log, fmt.Sprintf("%8.3f %s", time.Since(d.start).Seconds(), line))
}

// isCalm reports whether nothing has disturbed the node and the store lately; the caller holds the lock.
func (d *drawnHostRun) isCalm() bool {
	return time.Since(d.lastFault) > 3*time.Second && d.storeFaults == 0 && d.process != nil
}

// disturb draws faults of the node and of the store until the faults are over, and starts the node when it has ended.
func (d *drawnHostRun) disturb(ctx context.Context, t *testing.T) {
	for incarnation := uint64(1); ctx.Err() == nil; incarnation++ {
		d.mu.Lock()
		down, faults := d.process == nil, d.faults
		d.mu.Unlock()
		switch {
		case down:
			time.Sleep(d.draw(100*time.Millisecond, time.Second))
			d.startProcess(t, incarnation)
		case faults && d.chance(d.endChance):
			d.stopProcess(d.chance(0.2))
		case faults && d.chance(0.01):
			d.storeFault()
		}
		time.Sleep(d.draw(10*time.Millisecond, 100*time.Millisecond))
	}
}

// storeFault takes the store away for a time, slows it, or has it apply writes late without an answer.
func (d *drawnHostRun) storeFault() {
	var f store.Faults
	switch d.draw(0, 3) {
	case 0:
		f.Down = true
	case 1:
		f.DelayMillis = int(d.draw(50*time.Millisecond, 2*time.Second).Milliseconds())
	default:
		f.LoseReplies, f.LateMillis = int(d.draw(1, 4)), int(d.draw(0, 2*time.Second).Milliseconds())
	}
	d.sayf("store: %+v", f)
	d.mu.Lock()
	d.lastFault = time.Now()
	d.storeFaults++
	d.mu.Unlock()
	d.store.SetFaults(f)
	time.AfterFunc(d.draw(200*time.Millisecond, 8*time.Second), func() {
		d.mu.Lock()
		d.lastFault = time.Now()
		d.storeFaults--
		d.mu.Unlock()
		d.store.SetFaults(store.Faults{})
		d.sayf("store is back")
	})
}

// newDrawnHost returns a host whose store is empty and whose node has not started.
func newDrawnHost(t *testing.T, seed uint64) *drawnHostRun {
	t.Helper()
	service, err := table.NewRow(table.KindService, drawnService, nil)
	if err != nil {
		t.Fatal(err)
	}
	value, err := table.Decode[table.Service](service)
	if err != nil {
		t.Fatal(err)
	}
	value.ProbePath = "/health"
	row := table.Encode(table.KindService, drawnService, table.Meta{Version: 1, Revision: 1}, value)
	state, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: []table.Row{row}})
	if err != nil {
		t.Fatal(err)
	}
	return &drawnHostRun{
		store: store.New(), state: state, random: rand.New(rand.NewPCG(seed, seed)), start: time.Now(), boots: make(map[string]*drawnBoot), faults: true,
		endChance: 0.02, crashChance: 0.25,
	}
}

// playHost plays a drawn host and returns what was violated, the log, and how many leavings were acknowledged in calm times.
func playHost(t *testing.T, seed uint64, sharedNames bool) (violations, log []string, calmAcks int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDrawnHost(t, seed)
		d.sharedNames = sharedNames
		length := drawnLength
		if sharedNames {
			length, d.crashChance = drawnLongLength, 0.6
		}
		if sharedNames && seed%4 != 0 {
			// A process lives long enough to hear of several boots.
			d.endChance = 0.002
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { d.disturb(ctx, t) })
		running.Go(func() { d.endpoints(ctx) })
		running.Go(func() { d.checkActive(ctx) })
		time.Sleep(length)
		d.mu.Lock()
		d.faults = false
		d.mu.Unlock()
		// The boots before the last one may still be draining.
		time.Sleep(drawnGiveUp + 13*time.Second + drawnCalm)
		d.checkEnd()
		cancel()
		running.Wait()
		d.stopProcess(false)
		time.Sleep(10 * time.Second)
		violations, log, calmAcks = d.violations, d.log, d.calmAcks
	})
	return violations, log, calmAcks
}

// checkEnd checks that the boot that runs at the end of the calm time is the active one.
func (d *drawnHostRun) checkEnd() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.boot == nil || d.boot.leaving || d.process == nil {
		d.violations = append(d.violations, "no endpoint runs at the end")
		return
	}
	if e, ok := d.process.registry.ActiveEndpoint(drawnService); !ok || e.Key != d.boot.id {
		d.violations = append(d.violations, fmt.Sprintf("active at the end: got %q, want %s", e.Key, d.boot.id))
	}
	if n := len(d.seen); n == 0 || len(d.seen[n-1].Endpoints) != 1 || d.seen[n-1].Endpoints[0].Key != d.boot.id {
		d.violations = append(d.violations, fmt.Sprintf("stored at the end: got %+v, want %s", d.seen[max(0, n-1):], d.boot.id))
	}
}
