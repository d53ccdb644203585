package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// sharedLimit bounds one shared question: callers wait for a quarter of a second at most.
const sharedLimit = 250 * time.Millisecond

// shared runs a question for all who ask at about the same time, and never answers one with a question that began before it was
// asked.
type shared struct {
	mu sync.Mutex
	// running is the question under way, next the one that begins when it has ended; nil for none.
	running, next *round
	// now counts the time in which the host is suspended: the configuration goes on meanwhile.
	now clock.Clock
	// heardOf is when the last question began that was answered with yes.
	heardOf time.Time
}

// round is one question and, once done is closed, its answer.
type round struct {
	done   chan struct{}
	answer bool
}

// Fresh tells whether a question that began at most so long ago was answered with yes.
func (s *shared) Fresh(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heardOf.IsZero() && s.now.Since(s.heardOf) <= age
}

// Do asks, or joins a question that has not begun yet; false when ctx ends first.
func (s *shared) Do(ctx context.Context, ask func(context.Context) bool) bool {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &round{done: make(chan struct{})}
		s.next = r
		if s.running == nil {
			s.begin(ask)
		}
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return false
	}
}

// begin has the next question asked, if somebody waits for one; the lock is held. It asks under a context of its own: whoever came
// first may leave.
func (s *shared) begin(ask func(context.Context) bool) {
	s.running, s.next = s.next, nil
	if s.running == nil {
		return
	}
	go func(r *round) {
		began := s.now()
		ctx, cancel := context.WithTimeout(context.Background(), sharedLimit)
		defer cancel()
		r.answer = ask(ctx)
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.answer {
			s.heardOf = began
		}
		s.begin(ask)
	}(s.running)
}
