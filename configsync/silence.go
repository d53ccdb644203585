package configsync

import (
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
)

const (
	// silenceReadWindow is how long after connections went silent a node reads the platform itself.
	silenceReadWindow = 2 * time.Second
	// minSilenceInterval is the minimum time between two such signs that count.
	minSilenceInterval = 500 * time.Millisecond
)

// silenceAlert passes on that connections have gone silent. A change of the configuration may be withheld by the same failure: by a
// read that waits on a silent connection, or by a link over which a reader would have reported it.
type silenceAlert struct {
	mu     sync.Mutex
	raised chan struct{}
	at     time.Time
}

func newSilenceAlert() silenceAlert { return silenceAlert{raised: make(chan struct{})} }

// next returns a channel that is closed when connections go silent the next time.
func (a *silenceAlert) next() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.raised
}

// raise closes the channels that next has returned, and reports whether it did: not if it did so just before.
func (a *silenceAlert) raise(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.at) < minSilenceInterval {
		return false
	}
	a.at = now
	close(a.raised)
	a.raised = make(chan struct{})
	return true
}

// isRecent reports whether connections went silent within silenceReadWindow.
func (a *silenceAlert) isRecent(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.at.IsZero() && now.Sub(a.at) < silenceReadWindow
}

// ConnectionsSilent reports that connections of this node give no sign of life; it never blocks. Reads in flight are repeated on new
// connections, and a node that does not read the platform does so for a while.
func (f *Follower) ConnectionsSilent() {
	if now := time.Now(); f.silence.raise(now) {
		events.ConnectionsSilent.Log(f.log).Bool("reader", f.readingConfig.Load()).Dur("word_age", f.WordAge(now)).Send()
	}
}

// WordAge returns the time since this node last had word of the newest configuration: an answer of the platform, a message from a
// peer, or a look at a usable link to a reader of its hall that the platform answers.
func (f *Follower) WordAge(now time.Time) time.Duration { return now.Sub(clock.At(f.lastWord.Load())) }

// ReadAge returns the time since the platform last answered a read of the configuration, 0 on a node that does not read it.
func (f *Follower) ReadAge(now time.Time) time.Duration {
	if !f.cfg.WithConfig || !f.readingConfig.Load() {
		return 0
	}
	return now.Sub(clock.At(f.lastConfigRead.Load()))
}

// noteWord records that this node has word of the newest configuration.
func (f *Follower) noteWord() { f.lastWord.Store(clock.Nanos(time.Now())) }

// readsAfterSilence reports whether this node reads the platform because its connections went silent.
func (f *Follower) readsAfterSilence() bool {
	if !f.silence.isRecent(time.Now()) {
		return false
	}
	rank := slices.IndexFunc(f.Snapshot().ranked.byHall[f.cfg.Hall], f.isSelf)
	return rank >= 0 && rank < maxHallReaders
}
