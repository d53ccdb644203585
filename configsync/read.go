package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// HostPrefix starts the keys under which nodes announce themselves in the product's own table.
	HostPrefix = "host/"
	// gather is how long a reader lets changes of the hosts come together before it looks again: a fleet that starts
	// writes a row a node within a second or so.
	gather = 200 * time.Millisecond
	// mostGather bounds that wait where many lines come at once, each linesAGather of them a gather more: a fleet of hundreds that
	// starts or is rolled has each reader ask less often instead of five times a second, and a new endpoint is known within a
	// second all the same. What drains or stops is refused by its own node meanwhile.
	mostGather   = 4 * gather
	linesAGather = 4
	// pauseJitter is by how much of itself a pause varies, half of it either way, so that readers do not look together.
	pauseJitter = 0.4
)

// pause waits before the next look at the platform, a little more or less than d; false when the node stops.
func (f *Follower) pause(ctx context.Context, d time.Duration) bool {
	jitter := 1 + pauseJitter*(rand.Float64()-0.5) //nolint:gosec // spreads the readers, no secret
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(d) * jitter)):
		return true
	}
}

// records waits for what changed in a table after the cursor, or reads the whole table where none of it was loaded.
func (f *Follower) records(ctx context.Context, name string, loaded bool, cursor uint64) (platform.Records, error) {
	if !loaded {
		return f.platform.All(platform.WithReason(ctx, platform.ReasonLoad), name)
	}
	reason := platform.ReasonHosts
	if name == platform.TableOperators {
		reason = platform.ReasonConfig
	}
	return f.platform.Feed(platform.WithReason(ctx, reason), name, cursor, f.cfg.LongPollTimeout)
}

// ownReader reads the product's own table: the operators' rows and what the nodes announce. One goroutine owns it.
type ownReader struct {
	f    *Follower
	rows *changes.Reader
	// state holds the operators' rows only, hosts the announcements by the hosts' names.
	state  *table.State
	hosts  map[string]table.HostInfo
	fatals *rowPlane
	// cursor is the store's version up to which the table was read, loaded is false until it was read whole.
	cursor uint64
	loaded bool
	// before are the hosts as they were before the table was read whole again, for lines that cannot be read any more.
	before map[string]table.HostInfo
	// revision is the newest version of an announcement, or of one that was taken out.
	revision uint64
	// gone are the announcements taken out since base, the store's version at the last read of the whole table.
	gone []goneHost
	base uint64
	// failing spaces the looks while the platform fails.
	failing retry.Backoff
}

// readOwn keeps reading the product's own table until the node stops.
func (f *Follower) readOwn(ctx context.Context) {
	r := &ownReader{
		f: f, rows: changes.NewReader(f.platform, changes.WithSkipHandler(f.leaveOut)), state: table.NewState(), fatals: newRowPlane(table.SourcePoison),
		failing: retry.Backoff{Initial: f.cfg.RetryInterval, Max: f.cfg.MaxRetryInterval},
	}
	for {
		wait := f.cfg.RetryInterval
		if f.reading.Load() {
			m, again := r.look(ctx)
			f.deliver(m)
			wait = again
		}
		if !f.pause(ctx, wait) {
			return
		}
	}
}

// gatherFor is how long a reader waits after a look that brought some changed lines.
func gatherFor(lines int) time.Duration {
	if lines == 0 {
		return 0
	}
	return min(gather*time.Duration(1+lines/linesAGather), mostGather)
}

// look reads once and returns what was found and when to look again.
func (r *ownReader) look(ctx context.Context) (ownRead, time.Duration) {
	lines, err := r.advance(ctx)
	if err != nil {
		if fault.CodeOf(err) == fault.Gone {
			r.loaded = false
		}
		return ownRead{err: err}, r.failing.Next()
	}
	r.failing.Reset()
	m := ownRead{state: r.state, fatals: r.fatals.state, at: r.cursor, hosts: hostList{
		hosts: byName(slices.Collect(maps.Values(r.hosts))), revision: r.revision, base: r.base, gone: slices.Clone(r.gone),
	}.trimmed()}
	// The reader forgets what the list does, and has each removal once.
	r.gone, r.base = slices.Clone(m.hosts.gone), m.hosts.base
	return m, gatherFor(lines)
}

// advance takes what has changed since the last look, after waiting for it, or the whole table, and returns how many lines that
// were.
func (r *ownReader) advance(ctx context.Context) (lines int, err error) {
	recs, err := r.f.records(ctx, platform.TableOwn, r.loaded, r.cursor)
	if err != nil {
		return 0, err
	}
	if !r.loaded {
		// A read of the whole table shows what is gone by not showing it.
		r.before, r.hosts = r.hosts, make(map[string]table.HostInfo)
		r.base, r.gone = recs.Version, nil
	}
	rows := false
	var fatals []platform.Record
	for _, rec := range recs.Records {
		switch {
		case strings.HasPrefix(rec.Key, HostPrefix):
			r.noteHost(rec)
		case strings.HasPrefix(rec.Key, poison.KeyPrefix):
			fatals = append(fatals, rec)
		default:
			rows = true
		}
	}
	if err := r.noteFatals(fatals, recs.Version); err != nil {
		return 0, err
	}
	if rows {
		if r.state, err = r.rows.Advance(ctx, r.state); err != nil {
			return 0, err
		}
	}
	r.before = nil
	r.loaded = true
	r.cursor = recs.Version
	return len(recs.Records), nil
}

// noteHost takes one announcement, or that it was taken out. One that cannot be read is left out: what was known of its host, and all
// others, stand.
func (r *ownReader) noteHost(rec platform.Record) {
	r.revision = max(r.revision, rec.Version)
	id := strings.TrimPrefix(rec.Key, HostPrefix)
	if rec.Deleted {
		delete(r.hosts, id)
		r.gone = append(r.gone, goneHost{id: id, version: rec.Version})
		return
	}
	h, bad, err := readLine(id, rec.Value)
	for _, e := range bad {
		r.f.leaveOut(rec.Key+" "+e.Where, e)
	}
	if err != nil {
		r.f.leaveOut(rec.Key, err)
		if old, ok := r.before[id]; ok {
			r.hosts[id] = old
		}
		return
	}
	r.f.leftOut.Decoded(skipped.Records, rec.Key)
	h.Version = rec.Version
	r.hosts[id] = h
}

// readLine reads an announcement, BadRow for one that no node has written. An endpoint that cannot be read is left out of it; bad says
// why, each.
func readLine(id string, text []byte) (h table.HostInfo, bad fault.ListError, err error) {
	var line struct {
		table.HostInfo
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &line); err != nil {
		return h, nil, fault.Wrap(err, fault.BadRow, HostPrefix+id, "announcement cannot be read")
	}
	h = line.HostInfo
	for i, text := range line.Endpoints {
		a, err := readEndpoint(text)
		if err != nil {
			bad = append(bad, fault.New(fault.BadRow, fmt.Sprintf("endpoints[%d] %s", i, a.Key), err.Error()))
			continue
		}
		h.Endpoints = append(h.Endpoints, a)
	}
	return h, bad, checkLine(id, h)
}

// checkLine refuses a line that does not say what host it is of, where that stands and how it is reached.
func checkLine(id string, h table.HostInfo) error {
	if h.ID == "" || h.ID != id || h.Hall == "" {
		return fault.New(fault.BadRow, HostPrefix+id, "want the host's name and hall")
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fault.New(fault.BadRow, HostPrefix+id+" address", "want an IP and port")
	}
	return nil
}

// readEndpoint reads an endpoint of an announcement, BadRow for one that cannot be used.
func readEndpoint(text []byte) (table.Announced, error) {
	var a table.Announced
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fault.Wrap(err, fault.BadRow, "endpoint", "announcement cannot be read")
	}
	_, err := table.NewRow(table.KindEndpoint, a.Key, table.Encode(table.KindEndpoint, a.Key, table.Meta{}, a.Value).Cells)
	return a, err
}

// leaveOut notes a record that cannot be read.
func (f *Follower) leaveOut(key string, err error) {
	f.leftOut.Note(skipped.Records, key, err.Error())
}
