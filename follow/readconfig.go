package follow

import (
	"context"
	"maps"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/leftout"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/retry"
)

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
	recs, err := f.records(ctx, platform.TableOperators, loaded, cursor)
	if err != nil {
		return 0, configRead{err: err}
	}
	// The version is taken even of a configuration that cannot be used: the next one may be good, and this one will not
	// get better.
	configs, bad := f.decodeConfigs(recs)
	m := configRead{bad: bad}
	if len(configs) > 0 {
		m.config = &configs[len(configs)-1]
		f.seeConfig(m.config.Version)
	}
	f.noteLeftOut(m)
	return recs.Version, m
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
		f.leftOut.Replace(leftout.Configuration, now)
	}
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

// seeConfig notes a configuration that was read, before anybody takes the store's version that showed it for known.
func (f *Follower) seeConfig(version uint64) {
	for seen := f.configSeen.Load(); seen < version; seen = f.configSeen.Load() {
		if f.configSeen.CompareAndSwap(seen, version) {
			return
		}
	}
}
