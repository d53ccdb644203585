package follow

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// HostPrefix starts the keys under which nodes announce themselves in the product's own table.
	HostPrefix = "host/"
	// gather is how long a reader lets changes of the hosts come together before it looks again: a fleet that starts
	// writes a row a node within a second or so.
	gather = 200 * time.Millisecond
	// pauseJitter is by how much of itself a pause varies, half of it either way, so that readers do not look together.
	pauseJitter = 0.4
	// confirmLook is the time between two looks whether a newer configuration is in force.
	confirmLook = time.Millisecond
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

// ownReader reads the product's own table: the operators' rows and what the nodes announce. One goroutine owns it.
type ownReader struct {
	f    *Follower
	rows *changes.Reader
	// state holds the operators' rows only, hosts the announcements by the hosts' names.
	state *table.State
	hosts map[string]table.HostInfo
	// cursor is the store's version up to which the table was read, loaded is false until it was read whole.
	cursor uint64
	loaded bool
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
		f: f, rows: changes.NewReader(f.platform), state: table.NewState(),
		failing: retry.Backoff{First: f.cfg.Retry, Most: f.cfg.RetryMost},
	}
	for {
		wait := f.cfg.Retry
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

// look reads once and returns what was found and when to look again.
func (r *ownReader) look(ctx context.Context) (ownRead, time.Duration) {
	changed, err := r.advance(ctx)
	if err != nil {
		if fault.CodeOf(err) == fault.Gone {
			r.loaded = false
		}
		return ownRead{err: err}, r.failing.Next()
	}
	r.failing.Reset()
	m := ownRead{state: r.state, at: r.cursor, hosts: hostList{
		hosts: byName(slices.Collect(maps.Values(r.hosts))), revision: r.revision, base: r.base, gone: slices.Clone(r.gone),
	}.trimmed()}
	if changed {
		return m, gather
	}
	return m, 0
}

// advance takes what has changed since the last look, after waiting for it, or the whole table.
func (r *ownReader) advance(ctx context.Context) (changed bool, err error) {
	var recs platform.Records
	if r.loaded {
		recs, err = r.f.platform.Feed(ctx, platform.TableOwn, r.cursor, r.f.cfg.Wait)
	} else {
		recs, err = r.f.platform.All(ctx, platform.TableOwn)
	}
	if err != nil {
		return false, err
	}
	if !r.loaded {
		// A read of the whole table shows what is gone by not showing it.
		r.hosts = make(map[string]table.HostInfo)
		r.base, r.gone = recs.Version, nil
	}
	rows := false
	for _, rec := range recs.Records {
		if !strings.HasPrefix(rec.Key, HostPrefix) {
			rows = true
			continue
		}
		if err := r.noteHost(rec); err != nil {
			return false, err
		}
	}
	if rows {
		if r.state, err = r.rows.Advance(ctx, r.state); err != nil {
			return false, err
		}
	}
	r.loaded = true
	r.cursor = recs.Version
	return len(recs.Records) > 0, nil
}

// noteHost takes one announcement, or that it was taken out.
func (r *ownReader) noteHost(rec platform.Record) error {
	r.revision = max(r.revision, rec.Version)
	id := strings.TrimPrefix(rec.Key, HostPrefix)
	if rec.Deleted {
		delete(r.hosts, id)
		r.gone = append(r.gone, goneHost{id: id, version: rec.Version})
		return nil
	}
	var h table.HostInfo
	if err := json.Unmarshal(rec.Value, &h); err != nil || h.ID != id {
		return fault.New(fault.BadRow, rec.Key, "announcement cannot be read")
	}
	h.Version = rec.Version
	r.hosts[id] = h
	return nil
}

// readConfig keeps reading the configuration of the platform's operators until the node stops.
func (f *Follower) readConfig(ctx context.Context) {
	var cursor uint64
	loaded := false
	failing := retry.Backoff{First: f.cfg.Retry, Most: f.cfg.RetryMost}
	for {
		wait := f.cfg.Retry
		if f.readingConfig.Load() {
			version, m := f.lookConfig(ctx, loaded, cursor)
			f.deliver(m)
			switch {
			case m.err == nil:
				cursor, loaded = version, true
				f.configCursor.Store(version)
				failing.Reset()
				wait = 0
			case fault.CodeOf(m.err) == fault.Gone:
				loaded = false
				wait = 0
			default:
				wait = failing.Next()
			}
		}
		if !f.pause(ctx, wait) {
			return
		}
	}
}

// lookConfig reads the operators' table once; the number is the store's version that the read shows.
func (f *Follower) lookConfig(ctx context.Context, loaded bool, cursor uint64) (uint64, configRead) {
	var recs platform.Records
	var err error
	if loaded {
		recs, err = f.platform.Feed(ctx, platform.TableOperators, cursor, f.cfg.Wait)
	} else {
		recs, err = f.platform.All(ctx, platform.TableOperators)
	}
	if err != nil {
		return 0, configRead{err: err}
	}
	// The version is taken even of a configuration that cannot be used: the next one may be good, and this one will not
	// get better.
	configs, bad := f.decodeConfigs(recs)
	m := configRead{bad: bad}
	if len(configs) > 0 {
		m.config = &configs[len(configs)-1]
	}
	return recs.Version, m
}

// decodeConfigs returns the usable configurations among some records, oldest first, and what is wrong with the last of
// the others.
func (f *Follower) decodeConfigs(recs platform.Records) (configs []platform.Config, bad error) {
	for _, rec := range recs.Records {
		if rec.Key != platform.KeyConfig || rec.Deleted {
			continue
		}
		cfg, err := platform.DecodeConfig(rec.Value, f.cfg.Policy)
		if err != nil {
			bad = err
			continue
		}
		configs = append(configs, cfg)
	}
	return configs, bad
}

// Confirm tells whether the configuration in force is the platform's newest; a newer one is in force when it returns.
func (f *Follower) Confirm(ctx context.Context) bool {
	if !f.cfg.WithConfig {
		return true
	}
	recs, err := f.platform.Feed(ctx, platform.TableOperators, f.configCursor.Load(), 0)
	if err != nil {
		return false
	}
	// One that cannot be used is told by the reader, which meets it too.
	configs, _ := f.decodeConfigs(recs)
	want := uint64(0)
	for _, cfg := range configs {
		want = cfg.Version
		f.deliver(configRead{config: &cfg})
	}
	for f.State().Revisions()[table.PlaneConfig] < want {
		if !f.pause(ctx, confirmLook) {
			return false
		}
	}
	return true
}
