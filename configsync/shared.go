package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// sharedCheckTimeout limits one shared check, because callers wait for at most a quarter of a second.
const sharedCheckTimeout = 250 * time.Millisecond

// sharedCheck runs a check once for all callers that ask at about the same time. A caller never gets the result of a
// run that began before its call.
type sharedCheck struct {
	mu sync.Mutex
	// running is the run in flight, next the one that starts after it; nil for none.
	running, next *checkRun
	// now includes the time in which the host is suspended, because the configuration may change meanwhile.
	now clock.Clock
	// lastSuccess is the start time of the last successful run.
	lastSuccess time.Time
}

// checkRun is one run of the check; ok holds its result once done is closed.
type checkRun struct {
	done chan struct{}
	ok   bool
}

// SucceededWithin reports whether a run that started at most age ago was successful.
func (s *sharedCheck) SucceededWithin(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastSuccess.IsZero() && s.now.Since(s.lastSuccess) <= age
}

// Do runs the check, or joins a run that has not started yet; false if ctx ends first.
func (s *sharedCheck) Do(ctx context.Context, check func(context.Context) bool) bool {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &checkRun{done: make(chan struct{})}
		s.next = r
		if s.running == nil {
			s.startNext(check)
		}
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// startNext starts the next run if a caller waits for it; s.mu must be held. The run has a context of its own, because
// the caller that came first may give up.
func (s *sharedCheck) startNext(check func(context.Context) bool) {
	s.running, s.next = s.next, nil
	if s.running == nil {
		return
	}
	go func(r *checkRun) {
		started := s.now()
		ctx, cancel := context.WithTimeout(context.Background(), sharedCheckTimeout)
		defer cancel()
		r.ok = check(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.ok {
			s.lastSuccess = started
		}
		close(r.done)
		s.startNext(check)
	}(s.running)
}
