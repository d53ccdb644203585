package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

const (
	nodesPerHall = 10
	mostHalls    = 21
	quiet        = 3 * time.Second
	window       = 6 * time.Second
	changeCount  = 10
	changeGap    = 400 * time.Millisecond
	slowMillis   = 300
	tenth        = 10
	spread       = 5 * time.Second
)

// Scale measures fleets of several sizes: how long an accepted change takes to be in force at the last node, and what
// a node and the platform spend on control.
func Scale(bin string, out io.Writer, sizes []int) error {
	for _, n := range sizes {
		if err := scaleOf(bin, out, n); err != nil {
			return err
		}
	}
	return nil
}

type fleet struct {
	*demo.Fleet
	out    io.Writer
	name   string
	writer *changes.Writer
	reader *changes.Reader
	// accepted holds when each revision was accepted.
	accepted map[uint64]time.Time
}

func scaleOf(bin string, out io.Writer, n int) error {
	dir, err := os.MkdirTemp("", "lynxplank-scale-")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "temporary directory", "cannot be made")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	halls := min(max(n/nodesPerHall, 1), mostHalls)
	f, err := demo.NewFleet(bin, dir, n, halls, "log: {level: info}\n")
	if err != nil {
		return err
	}
	defer f.Close()
	f.Bare = true
	if err := f.Start("bench", backend.Behaviour{}, "floor: 50%"); err != nil {
		return err
	}
	client := platform.NewClient(f.PlatformAddress())
	s := &fleet{
		Fleet: f, out: out, name: "scale_" + strconv.Itoa(n), writer: changes.NewWriter(client),
		reader: changes.NewReader(client), accepted: make(map[uint64]time.Time),
	}
	steps := []func() error{s.idle, s.changing, s.slowPlatform, s.frozen, s.replaced}
	for _, step := range steps {
		time.Sleep(quiet)
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// use is what the fleet spent so far.
type use struct {
	at       time.Time
	cpu      []float64
	bytes    []float64
	memory   []float64
	platform store.Stats
}

func (f *fleet) use() (use, error) {
	u := use{at: time.Now()}
	for _, m := range f.Members {
		s, err := m.Status()
		if err != nil {
			return u, err
		}
		u.bytes = append(u.bytes, float64(s.PeerBytes))
		u.cpu = append(u.cpu, processor(m.NodePID()))
		u.memory = append(u.memory, memory(m.NodePID()))
	}
	var err error
	u.platform, err = f.PlatformStats()
	return u, err
}

// spend measures what the fleet spends while work goes on, a window at least.
func (f *fleet) spend(name string, work func() error) error {
	before, err := f.use()
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	time.Sleep(max(0, window-time.Since(before.at)))
	after, err := f.use()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	cpu, bytes := make([]float64, len(after.cpu)), make([]float64, len(after.cpu))
	for i := range after.cpu {
		const percent = 100
		cpu[i] = percent * (after.cpu[i] - before.cpu[i]) / seconds
		bytes[i] = (after.bytes[i] - before.bytes[i]) / seconds / 1024
	}
	f.print(name+".cpu_mean", mean(cpu), "%_of_a_core")
	f.print(name+".cpu_max", slices.Max(cpu), "%_of_a_core")
	f.print(name+".peer_bytes_mean", mean(bytes), "KiB/s")
	f.print(name+".peer_bytes_max", slices.Max(bytes), "KiB/s")
	f.print(name+".memory_mean", mean(after.memory), "MiB")
	f.print(name+".platform_reads", float64(after.platform.Reads-before.platform.Reads)/seconds, "reads/s")
	f.print(name+".platform_writes", float64(after.platform.Writes-before.platform.Writes)/seconds, "writes/s")
	return nil
}

func (f *fleet) print(name string, value float64, unit string) {
	measure(f.out, f.name+"."+name, value, unit)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

func (f *fleet) idle() error { return f.spend("idle", func() error { return nil }) }

func (f *fleet) changing() error {
	first := f.last() + 1
	err := f.spend("changing", func() error { return f.change(changeCount) })
	if err != nil {
		return err
	}
	return f.spreadOf("changing", first, f.last(), f.Members)
}

func (f *fleet) slowPlatform() error {
	if err := f.SetFaults(store.Faults{DelayMillis: slowMillis}); err != nil {
		return err
	}
	first := f.last() + 1
	if err := f.change(changeCount / 2); err != nil {
		return err
	}
	time.Sleep(spread)
	if err := f.SetFaults(store.Faults{}); err != nil {
		return err
	}
	return f.spreadOf("platform_slow_300ms", first, f.last(), f.Members)
}

// frozen freezes a tenth of the nodes, changes rows, lets them go on and times how soon they are up to date again.
func (f *fleet) frozen() error {
	count := len(f.Members) / tenth
	for _, m := range f.Members[:count] {
		if err := m.Pause(true); err != nil {
			return err
		}
	}
	first := f.last() + 1
	if err := f.change(changeCount / 2); err != nil {
		return err
	}
	time.Sleep(spread)
	if err := f.spreadOf("tenth_frozen.others", first, f.last(), f.Members[count:]); err != nil {
		return err
	}
	resumed := time.Now()
	for _, m := range f.Members[:count] {
		if err := m.Pause(false); err != nil {
			return err
		}
	}
	time.Sleep(spread)
	f.accepted[f.last()] = resumed
	return f.spreadOf("tenth_frozen.resumed", f.last(), f.last(), f.Members[:count])
}

// replaced kills a tenth of the nodes at once and starts them with empty memory.
func (f *fleet) replaced() error {
	count := len(f.Members) / tenth
	gone := f.Members[len(f.Members)-count:]
	for _, m := range gone {
		_ = m.KillNode()
	}
	started := time.Now()
	for _, m := range gone {
		if err := f.StartNode(m); err != nil {
			return err
		}
	}
	if err := f.WaitReady(); err != nil {
		return err
	}
	f.accepted[f.last()] = started
	return f.spreadOf("tenth_replaced", f.last(), f.last(), gone)
}

func (f *fleet) last() uint64 {
	last := uint64(1)
	for r := range f.accepted {
		last = max(last, r)
	}
	return last
}

// change edits one cell several times and notes when each edit was accepted.
func (f *fleet) change(count int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range count {
		row, err := f.reader.Row(ctx, table.KindService, "bench")
		if err != nil {
			return err
		}
		next, err := row.With("queue", strconv.Itoa(i+20))
		if err != nil {
			return err
		}
		op := fmt.Sprintf("%s %d %d", f.name, f.last(), i)
		revision, err := f.writer.Accept(ctx, changes.Change{Op: op, Edits: []changes.Edit{{Row: next, ExpectedVersion: row.Version}}})
		if err != nil {
			return err
		}
		f.accepted[revision] = time.Now()
		time.Sleep(changeGap)
	}
	return nil
}

// spreadOf prints how long after their acceptance revisions were in force, over the nodes' own logs. A node that took
// a later revision first had the earlier one in force with it.
func (f *fleet) spreadOf(name string, first, last uint64, members []*demo.Member) error {
	var millis []float64
	missing := 0
	for _, m := range members {
		inForce, err := readInForce(f.LogFile(m))
		if err != nil {
			return err
		}
		for r := first; r <= last; r++ {
			at, ok := earliest(inForce, r, f.accepted[r])
			if !ok {
				missing++
				continue
			}
			millis = append(millis, max(0, float64(at.Sub(f.accepted[r]))/float64(time.Millisecond)))
		}
	}
	f.print(name+".in_force_p50", quantile(millis, 0.5), "ms")
	f.print(name+".in_force_max", quantile(millis, 1), "ms")
	f.print(name+".in_force_missing", float64(missing), "node_changes")
	return nil
}

type inForce struct {
	revision uint64
	at       time.Time
}

// earliest returns when a revision or a later one was first put in force after a time, or a little before it: a node
// may hear of a change before its author does.
func earliest(list []inForce, revision uint64, accepted time.Time) (time.Time, bool) {
	for _, f := range list {
		if f.revision >= revision && f.at.After(accepted.Add(-time.Second)) {
			return f.at, true
		}
	}
	return time.Time{}, false
}

func readInForce(path string) ([]inForce, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, path, "log cannot be read")
	}
	defer func() { _ = file.Close() }()
	var out []inForce
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l struct {
			Event    int       `json:"event"`
			Revision uint64    `json:"revision"`
			Time     time.Time `json:"time"`
		}
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == events.RevisionActivated.Number {
			out = append(out, inForce{l.Revision, l.Time})
		}
	}
	return out, nil
}
