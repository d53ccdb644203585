package configsync

import (
	"context"
	"maps"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// configReader reads what the platform's operators write: the configuration and the halls that they evacuate. One goroutine owns it.
type configReader struct {
	f     *Follower
	halls *rowPlane
	// cursor is the store's version up to which the table was read, loaded is false until it was read whole.
	cursor uint64
	loaded bool
	// failing spaces the looks while the platform fails.
	failing retry.Backoff
}

// readConfig keeps reading the platform's operators' table until the node stops.
func (f *Follower) readConfig(ctx context.Context) {
	r := &configReader{
		f: f, halls: newRowPlane(table.SourceHalls), failing: retry.Backoff{Initial: f.cfg.RetryInterval, Max: f.cfg.MaxRetryInterval},
	}
	for {
		wait := f.cfg.RetryInterval
		if f.readingConfig.Load() {
			m := r.look(ctx)
			f.deliver(m)
			switch {
			case m.err == nil:
				f.configCursor.Store(r.cursor)
				r.failing.Reset()
				wait = 0
			case fault.CodeOf(m.err) == fault.Gone:
				r.loaded = false
				wait = 0
			default:
				wait = r.failing.Next()
			}
		}
		if !f.pause(ctx, wait) {
			return
		}
	}
}

// look reads the operators' table once.
func (r *configReader) look(ctx context.Context) configRead {
	recs, err := r.f.records(ctx, platform.TableOperators, r.loaded, r.cursor)
	if err != nil {
		return configRead{err: err}
	}
	// The version is taken even of a configuration that cannot be used: the next one may be good, and this one will not
	// get better.
	configs, bad := r.f.decodeConfigs(recs)
	m := configRead{bad: bad}
	if len(configs) > 0 {
		m.config = &configs[len(configs)-1]
		r.f.seeConfig(m.config.Version)
	}
	r.f.noteLeftOut(m)
	if err := r.noteHalls(recs); err != nil {
		return configRead{err: err}
	}
	m.halls, m.at = r.halls.state, recs.Version
	r.cursor, r.loaded = recs.Version, true
	return m
}

// noteLeftOut notes what of the newest configuration could not be understood.
func (f *Follower) noteLeftOut(m configRead) {
	now := make(map[string]string)
	if m.config != nil {
		maps.Copy(now, m.config.LeftOut)
	}
	if m.bad != nil {
		now[platform.KeyConfig] = m.bad.Error()
	}
	if m.config != nil || m.bad != nil {
		f.leftOut.Replace(skipped.Configuration, now)
	}
}

// decodeConfigs returns the usable configurations among some records, oldest first, and what is wrong with the last of
// the others.
func (f *Follower) decodeConfigs(recs platform.Records) (configs []platform.Config, bad error) {
	for _, rec := range recs.Records {
		if rec.Key != platform.KeyConfig || rec.Deleted {
			continue
		}
		cfg, err := platform.DecodeConfig(rec.Value, f.cfg.ServiceDefaults)
		if err != nil {
			bad = err
			continue
		}
		configs = append(configs, cfg)
	}
	return configs, bad
}

// seeConfig notes a configuration that was read, before anybody takes the store's version that showed it for known.
func (f *Follower) seeConfig(version uint64) {
	for seen := f.configSeen.Load(); seen < version; seen = f.configSeen.Load() {
		if f.configSeen.CompareAndSwap(seen, version) {
			return
		}
	}
}
