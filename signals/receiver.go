package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// probeSignal is ignored by default. Its number is higher than those of the stop signals: of signals that wait together, the one
// with the lowest number is received first.
const probeSignal = syscall.SIGWINCH

// Stop is a stop signal that was received.
type Stop struct {
	// SentAfter is the earliest time at which it may have been sent.
	SentAfter time.Time
	// ReceivedAt is when it was received.
	ReceivedAt time.Time
}

// Receiver receives the stop signals of the process on a goroutine of its own, so that their times do not depend on what else
// the process is doing.
type Receiver struct {
	signals <-chan os.Signal
	// probe sends probeSignal to this process.
	probe func() error
	// stops holds the stop signals that have not been handled, checks a request for a probe.
	stops  chan Stop
	checks chan struct{}

	mu    sync.Mutex
	path  path
	first Stop
	// changed is closed and replaced when path or first changes.
	changed chan struct{}
}

// NewReceiver returns the receiver of the stop signals, also of one received since the start of the process, and removes every
// other handler of these signals. Run must be called.
func NewReceiver() *Receiver {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	r := NewReceiverOf(register(stops), func() error { return syscall.Kill(os.Getpid(), probeSignal) })
	for {
		select {
		case s := <-r.signals:
			r.receive(s)
		default:
			return r
		}
	}
}

// NewReceiverOf returns a receiver of signals that come from a channel. probe has SIGWINCH sent to that channel, behind the
// signals that are on their way to it.
func NewReceiverOf(c <-chan os.Signal, probe func() error) *Receiver {
	return &Receiver{
		signals: c, probe: probe, stops: make(chan Stop, queueSize), checks: make(chan struct{}, 1), path: path{clearUntil: time.Now()},
		changed: make(chan struct{}),
	}
}

// Run receives signals until ctx ends.
func (r *Receiver) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	r.check()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.signals:
			r.receive(s)
		case <-tick.C:
			r.tick()
			r.check()
		case <-r.checks:
			r.check()
		}
	}
}

// Stops returns the channel of the stop signals that were received.
func (r *Receiver) Stops() <-chan Stop { return r.stops }

// Received returns the first stop signal, false if none has been received.
func (r *Receiver) Received() (Stop, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, !r.first.ReceivedAt.IsZero()
}

// ClearUntil returns a time such that each stop signal sent before it has been received.
func (r *Receiver) ClearUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path.clearUntil
}

// Check has the receiver find out until when no stop signal was sent, and returns a channel that is closed when it knows more.
func (r *Receiver) Check() <-chan struct{} {
	select {
	case r.checks <- struct{}{}:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// receive handles one signal.
func (r *Receiver) receive(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == probeSignal {
		if r.first.ReceivedAt.IsZero() {
			r.update(r.path.withReturn(time.Now()))
		}
		return
	}
	stop := Stop{SentAfter: r.path.clearUntil, ReceivedAt: time.Now()}
	if r.first.ReceivedAt.IsZero() {
		r.first = stop
	}
	r.update(r.path)
	select {
	case r.stops <- stop:
	default:
	}
}

// check sends a probe unless one is under way or a stop signal has been received: ClearUntil stays before that.
func (r *Receiver) check() {
	r.mu.Lock()
	now := time.Now()
	due := r.first.ReceivedAt.IsZero() && r.path.probeDue(now)
	if due {
		r.path = r.path.withProbe(now)
	}
	r.mu.Unlock()
	if due {
		// A probe that cannot be sent does not return.
		_ = r.probe()
	}
}

func (r *Receiver) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first.ReceivedAt.IsZero() {
		r.update(r.path.withTick(time.Now()))
	}
}

// update replaces the path and wakes those who wait for a change; the lock must be held.
func (r *Receiver) update(next path) {
	r.path = next
	close(r.changed)
	r.changed = make(chan struct{})
}
