package configsync

import (
	"context"
	"maps"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// configReader reads the table of the platform's operators: the configuration and the halls that they evacuate. One
// goroutine owns it.
type configReader struct {
	f     *Follower
	halls *rowSource
	// cursor is the store version up to which the table was read; loaded is false until the whole table was read.
	cursor uint64
	loaded bool
	// backoff spaces the reads while the platform fails, turns orders those of the hall's readers.
	backoff retry.Backoff
	turns   readerTurns
}

// readConfig keeps reading the table of the platform's operators until the node stops.
func (f *Follower) readConfig(ctx context.Context) {
	r := &configReader{
		f: f, halls: newRowSource(table.SourceHalls), backoff: retry.Backoff{Initial: f.cfg.RetryInterval, Max: f.cfg.MaxRetryInterval},
		turns: f.newTurns(platform.TableOperators, f.cfg.ConfigReaders),
	}
	for {
		wait, silence := f.cfg.RetryInterval, f.silence.next()
		if f.readingConfig.Load() || f.readsAfterSilence() {
			m := r.poll(ctx)
			f.deliver(m)
			switch {
			case m.err == nil:
				f.configCursor.Store(r.cursor)
				r.backoff.Reset()
				wait = 0
			case fault.CodeOf(m.err) == fault.Gone:
				r.loaded = false
				wait = 0
			default:
				wait = r.backoff.Next()
			}
		} else {
			r.turns.announce(false)
		}
		if !f.pauseUntil(ctx, wait, silence) {
			return
		}
	}
}

// poll reads the operators' table once.
func (r *configReader) poll(ctx context.Context) configRead {
	start := time.Now()
	recs, err := r.turns.records(ctx, platform.TableOperators, r.loaded, r.cursor)
	if err != nil {
		return configRead{err: err, took: time.Since(start)}
	}
	// The cursor moves past a configuration that cannot be decoded as well: the next one may be valid, and reading this
	// one again would fail again.
	configs, invalid := r.f.decodeConfigs(recs)
	m := configRead{invalid: invalid}
	if len(configs) > 0 {
		m.config = &configs[len(configs)-1]
		r.f.recordConfigRead(m.config.Version)
	}
	r.f.noteSkippedConfig(m)
	if err := r.applyHallRecords(recs); err != nil {
		return configRead{err: err}
	}
	m.halls, m.at = r.halls.state, recs.Version
	r.cursor, r.loaded = recs.Version, true
	r.f.lastConfigRead.Store(clock.Nanos(time.Now()))
	return m
}

// noteSkippedConfig records the parts of the newest configuration that could not be decoded.
func (f *Follower) noteSkippedConfig(m configRead) {
	details := make(map[string]string)
	if m.config != nil {
		maps.Copy(details, m.config.LeftOut)
	}
	if m.invalid != nil {
		details[platform.KeyConfig] = m.invalid.Error()
	}
	if m.config != nil || m.invalid != nil {
		f.skippedList.Replace(skipped.Configuration, details)
	}
}

// decodeConfigs returns the valid configurations among some records, oldest first, and the error of the last invalid
// one.
func (f *Follower) decodeConfigs(recs platform.Records) (configs []platform.Config, invalid error) {
	for _, rec := range recs.Records {
		if rec.Key != platform.KeyConfig || rec.Deleted {
			continue
		}
		cfg, err := platform.DecodeConfig(rec.Value, f.cfg.ServiceDefaults)
		if err != nil {
			invalid = err
			continue
		}
		configs = append(configs, cfg)
	}
	return configs, invalid
}

// recordConfigRead records the version of a configuration that was read. It is called before configCursor moves past
// the store version that contains the configuration.
func (f *Follower) recordConfigRead(version uint64) {
	for seen := f.newestConfigRead.Load(); seen < version; seen = f.newestConfigRead.Load() {
		if f.newestConfigRead.CompareAndSwap(seen, version) {
			return
		}
	}
}
