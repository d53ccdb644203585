package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks of a PauseMonitor.
	tickInterval = 150 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a process that runs.
	maxTickGap = 250 * time.Millisecond
	// recentPause is how long after a pause another one is likely.
	recentPause = 2 * time.Second
	// resumeDelay is how long after a pause a resumed process may still receive signals that were sent during the pause.
	resumeDelay = 500 * time.Millisecond
)

// Pause is a time in which the process did not run, because it or its host was suspended or it got no CPU.
type Pause struct {
	// From is when the process is last known to have run, Until when it ran again.
	From, Until time.Time
}

// Duration returns the length of the pause.
func (p Pause) Duration() time.Duration { return p.Until.Sub(p.From) }

// pauses derives the latest pause from the ticks of a process. It is immutable.
type pauses struct {
	// lastTick is the time of the latest tick, zero if there was none.
	lastTick time.Time
	latest   Pause
	// last is the latest pause by itself; latest includes earlier ones that ended shortly before it.
	last Pause
}

// withTick returns the pauses after a tick, and the pause that it ended; ok is false if it ended none.
func (p pauses) withTick(now time.Time) (next pauses, ended Pause, ok bool) {
	next = pauses{lastTick: now, latest: p.latest, last: p.last}
	if p.lastTick.IsZero() || now.Sub(p.lastTick) <= maxTickGap {
		return next, Pause{}, false
	}
	ended = Pause{From: p.lastTick, Until: now}
	next.latest, next.last = ended, ended
	if ended.From.Sub(p.latest.Until) <= resumeDelay && !p.latest.Until.IsZero() {
		// A signal of the earlier pause may not have been received before this one.
		next.latest.From = p.latest.From
	}
	return next, ended, true
}

// receiptDelay returns how long ago a signal or message that is received now may have reached the host.
//
// Invariant: it is at least as long as the process has not run since then, but for less than maxTickGap.
func (p pauses) receiptDelay(now time.Time) time.Duration {
	p, _, _ = p.withTick(now)
	if p.latest.Until.IsZero() || now.Sub(p.latest.Until) > resumeDelay {
		return 0
	}
	return now.Sub(p.latest.From)
}

// recent returns the length of the latest pause if it is under way or ended a short time ago, 0 otherwise.
func (p pauses) recent(now time.Time) time.Duration {
	p, _, _ = p.withTick(now)
	if p.last.Until.IsZero() || now.Sub(p.last.Until) > recentPause {
		return 0
	}
	return p.last.Duration()
}

// PauseMonitor detects when the process was paused. It is a kernel component.
type PauseMonitor struct {
	clock   Clock
	onPause func(Pause)
	stop    context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	pauses pauses
}

// NewPauseMonitor returns a monitor that calls onPause, on a goroutine of its own, after each pause.
func NewPauseMonitor(c Clock, onPause func(Pause)) *PauseMonitor {
	return &PauseMonitor{clock: c, onPause: onPause, done: make(chan struct{})}
}

// Start starts the ticks.
func (m *PauseMonitor) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.tick()
	go m.run(ctx)
	return nil
}

// Stop ends the ticks.
func (m *PauseMonitor) Stop(context.Context) error {
	m.stop()
	<-m.done
	return nil
}

// ReceiptDelay returns how long ago a signal or message that is received now may have reached the host: a paused process
// receives it only when it runs again. It returns 0 if there was no pause.
func (m *PauseMonitor) ReceiptDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses.receiptDelay(m.clock())
}

// Recent returns the length of the latest pause, 0 if there was none in the last seconds: a process that was paused just now may be
// paused as long again.
func (m *PauseMonitor) Recent() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses.recent(m.clock())
}

func (m *PauseMonitor) run(ctx context.Context) {
	defer close(m.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.tick()
		}
	}
}

func (m *PauseMonitor) tick() {
	m.mu.Lock()
	next, ended, ok := m.pauses.withTick(m.clock())
	m.pauses = next
	m.mu.Unlock()
	if ok {
		m.onPause(ended)
	}
}
