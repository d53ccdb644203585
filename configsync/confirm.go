package configsync

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// confirmPollInterval is the interval at which a waiting node checks whether a newer configuration is active.
	confirmPollInterval = time.Millisecond
	// confirmMaxAge is the maximum age of a confirmation by the platform that a reader returns to the nodes of its hall.
	// It limits a hall to two queries per second, however many requests its nodes get for routes that do not exist. It
	// counts towards the time of 2 s and more within which a change must be active.
	confirmMaxAge = 500 * time.Millisecond
	// confirmReaderTimeout is how long a node waits for its hall's reader before it queries the platform itself.
	confirmReaderTimeout = 100 * time.Millisecond
)

// Confirm reports whether the active configuration is the platform's newest. If there is a newer one, it is active when
// Confirm returns true. A node that does not read the configuration itself asks its hall's first reader.
//
// Invariant: the configuration that it confirms was the newest at the time of the call or, on a node that is not a
// reader, at most confirmMaxAge before.
func (f *Follower) Confirm(ctx context.Context) bool {
	if !f.cfg.WithConfig {
		return true
	}
	if !f.readingConfig.Load() && f.confirmByReader(ctx) {
		return true
	}
	return f.confirms.Do(ctx, f.confirm)
}

// ConfirmForPeer is Confirm for another node of the hall; a confirmation by the platform of at most confirmMaxAge ago
// is enough.
func (f *Follower) ConfirmForPeer(ctx context.Context) bool {
	return f.confirms.SucceededWithin(confirmMaxAge) || f.confirms.Do(ctx, f.confirm)
}

// confirmByReader asks the hall's first reader for the newest configuration version and waits until this node has
// activated it; false if that fails.
func (f *Follower) confirmByReader(ctx context.Context) bool {
	reader := f.Snapshot().ranked.readers(f.cfg.Hall, 1, f.reachable)
	if len(reader) == 0 || f.isSelf(reader[0]) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmReaderTimeout)
	defer cancel()
	s, err := f.links.Session(ctx, reader[0].Address)
	if err != nil {
		return false
	}
	config, known := s.Confirm(ctx)
	if !known {
		return false
	}
	var shown table.Revisions
	shown[table.SourceConfig] = config
	f.Hint(reader[0].ID, shown)
	return f.awaitConfig(ctx, config)
}

// awaitConfig waits until a version of the configuration is active; false if ctx ends first.
func (f *Follower) awaitConfig(ctx context.Context, version uint64) bool {
	for f.State().Revisions()[table.SourceConfig] < version {
		if !f.pause(ctx, confirmPollInterval) {
			return false
		}
	}
	return true
}

// confirm queries the platform once, or again while its answers are not whole.
func (f *Follower) confirm(ctx context.Context) bool {
	for {
		after := f.configCursor.Load()
		recs, err := f.platform.Feed(platform.WithReason(ctx, platform.ReasonConfirm), platform.TableOperators, after, 0)
		if err != nil {
			return false
		}
		// A configuration that cannot be decoded is reported by the reader, which receives it too.
		configs, _ := f.decodeConfigs(recs)
		for _, cfg := range configs {
			f.recordConfigRead(cfg.Version)
			f.deliver(configRead{config: &cfg})
		}
		if !f.awaitConfig(ctx, f.newestConfigRead.Load()) {
			return false
		}
		// Without this, a node that is not a reader would receive the same configurations with every answer.
		f.configCursor.CompareAndSwap(after, max(after, recs.Shown()))
		if !recs.More {
			return true
		}
	}
}
