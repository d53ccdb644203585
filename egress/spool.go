package egress

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
)

const (
	// stallLimit is how long an endpoint's answer is left unread because its caller does not read and there is no room to keep it: an
	// endpoint breaks such an answer off by itself soon after, and bears few of them.
	stallLimit = 2 * time.Second
	// slowAfter is how long a caller must have read nothing to be given up for another request that wants the slot: longer than its word
	// of what it has read takes from the farthest hall.
	slowAfter = 250 * time.Millisecond
	// stallLook is the time between two looks at how long that is.
	stallLook = 50 * time.Millisecond
)

// spool takes an endpoint's answer as fast as it comes and passes it on as fast as its caller reads: a slow caller holds neither the
// endpoint's slot nor its answer in the endpoint's memory. One goroutine puts, another drains.
type spool struct {
	hold *memory.Reservation
	// holdUp is called when the endpoint has to wait for the caller, held is for how long it had to.
	holdUp func() (wanted <-chan struct{}, over func())
	held   time.Duration

	mu sync.Mutex
	// chunks are what was not passed on yet, in order.
	chunks []chunk
	// closed is set once nothing more is put, broken why nothing more can be passed on.
	closed bool
	broken error
	// more wakes who drains, moved who puts.
	more, moved chan struct{}
}

// chunk is a piece of an answer; held is set if the budget has room for it.
type chunk struct {
	bytes []byte
	held  bool
}

func newSpool(hold *memory.Reservation, holdUp func() (wanted <-chan struct{}, over func())) *spool {
	return &spool{hold: hold, holdUp: holdUp, more: make(chan struct{}, 1), moved: make(chan struct{}, 1)}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put takes the next piece, which it copies; CallerSlow when there is no room for it, and its caller has read nothing for long or others
// want the slot.
func (s *spool) put(ctx context.Context, b []byte) error {
	if taken, err := s.tryPut(b); taken || err != nil {
		return err
	}
	start := time.Now()
	wanted, over := s.holdUp()
	defer func() {
		over()
		s.held += time.Since(start)
	}()
	look := time.NewTicker(stallLook)
	defer look.Stop()
	for moved, pressed := start, false; ; {
		freed := s.hold.Released()
		if taken, err := s.tryPut(b); taken || err != nil {
			return err
		}
		select {
		case <-s.moved:
			moved = time.Now()
		case <-freed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "answer", "caller's time is over")
		case <-wanted:
			pressed = true
		case <-look.C:
		}
		if idle := time.Since(moved); idle >= stallLimit || pressed && idle >= slowAfter {
			return fault.New(fault.CallerSlow, "answer", "caller does not read, and there is no room to keep its answer")
		}
	}
}

// tryPut takes a piece if there is room for it, or if nothing else of the answer waits; an error when nobody takes it any more.
func (s *spool) tryPut(b []byte) (taken bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return false, s.broken
	}
	held := s.hold.Grow(len(b))
	if !held && len(s.chunks) > 0 {
		return false, nil
	}
	s.chunks = append(s.chunks, chunk{bytes: bytes.Clone(b), held: held})
	wake(s.more)
	return true, nil
}

// close tells that nothing more is put.
func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	wake(s.more)
}

// drain passes everything on until the end, or until its caller takes nothing more.
func (s *spool) drain(sink peer.Sink) error {
	for {
		c, last, ok := s.next()
		if !ok {
			return nil
		}
		err := sink.Data(c.bytes, last)
		if c.held {
			s.hold.Shrink(len(c.bytes))
		}
		wake(s.moved)
		if err != nil {
			s.giveUp(err)
			return err
		}
	}
}

// next waits for the next piece; false when there is none to come, last when none follows it.
func (s *spool) next() (c chunk, last, ok bool) {
	for {
		s.mu.Lock()
		closed := s.closed
		if len(s.chunks) > 0 {
			c = s.chunks[0]
			s.chunks[0], s.chunks = chunk{}, s.chunks[1:]
			last = closed && len(s.chunks) == 0
			s.mu.Unlock()
			return c, last, true
		}
		s.mu.Unlock()
		if closed {
			return chunk{}, false, false
		}
		<-s.more
	}
}

// giveUp drops what was not passed on, and has nothing more put.
func (s *spool) giveUp(why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = why
	for _, c := range s.chunks {
		if c.held {
			s.hold.Shrink(len(c.bytes))
		}
	}
	s.chunks = nil
	wake(s.moved)
}
