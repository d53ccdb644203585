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
	// stallTimeout is how long an endpoint's answer is left unread because its caller does not read and there is no
	// memory to buffer it. An endpoint aborts such an answer by itself soon after, and can sustain only a few unread
	// answers.
	stallTimeout = 2 * time.Second
	// reclaimDelay is how long a caller must have read nothing before its answer is given up for another request that
	// wants the slot. The acknowledgement of a read takes less than that from the farthest hall.
	reclaimDelay = 250 * time.Millisecond
	// stallCheckInterval is the time between two checks of these limits.
	stallCheckInterval = 50 * time.Millisecond
)

// answerBuffer takes an endpoint's answer as fast as it arrives and passes it on as fast as its caller reads, so that
// a slow caller occupies neither the endpoint's slot nor the endpoint's memory. One goroutine calls put, another one
// drain.
type answerBuffer struct {
	hold *memory.Reservation
	// onStall is called when the endpoint has to wait for the caller; stalledFor is how long it had to in total.
	onStall    func() (wanted <-chan struct{}, over func())
	stalledFor time.Duration

	mu sync.Mutex
	// chunks are the parts of the answer that were not passed on yet, in order.
	chunks []chunk
	// closed is set once nothing more will be put; failed is why nothing more can be passed on.
	closed bool
	failed error
	// readable wakes the goroutine in drain, drained the one in put.
	readable, drained chan struct{}
}

// chunk is a part of an answer; counted is set if its bytes are counted in the memory budget.
type chunk struct {
	bytes   []byte
	counted bool
}

func newAnswerBuffer(hold *memory.Reservation, onStall func() (wanted <-chan struct{}, over func())) *answerBuffer {
	return &answerBuffer{hold: hold, onStall: onStall, readable: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put adds a copy of the next part. It returns CallerSlow if there is no memory for it and the caller has read
// nothing for stallTimeout, or for reclaimDelay while another request wants the slot.
func (s *answerBuffer) put(ctx context.Context, b []byte) error {
	if taken, err := s.tryPut(b); taken || err != nil {
		return err
	}
	start := time.Now()
	wanted, over := s.onStall()
	defer func() {
		over()
		s.stalledFor += time.Since(start)
	}()
	check := time.NewTicker(stallCheckInterval)
	defer check.Stop()
	for lastRead, reclaim := start, false; ; {
		freed := s.hold.Released()
		if taken, err := s.tryPut(b); taken || err != nil {
			return err
		}
		select {
		case <-s.drained:
			lastRead = time.Now()
		case <-freed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "answer", "caller's deadline has passed or the caller has left")
		case <-wanted:
			reclaim = true
		case <-check.C:
		}
		if idle := time.Since(lastRead); idle >= stallTimeout || reclaim && idle >= reclaimDelay {
			return fault.New(fault.CallerSlow, "answer", "caller does not read its answer, and the memory budget has no room to buffer it")
		}
	}
}

// tryPut adds a part if the budget has memory for it or the buffer is empty. It returns an error once the caller
// takes nothing more.
func (s *answerBuffer) tryPut(b []byte) (taken bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return false, s.failed
	}
	counted := s.hold.Grow(len(b))
	if !counted && len(s.chunks) > 0 {
		return false, nil
	}
	s.chunks = append(s.chunks, chunk{bytes: bytes.Clone(b), counted: counted})
	wake(s.readable)
	return true, nil
}

// close marks the end of the answer; nothing is put after it.
func (s *answerBuffer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	wake(s.readable)
}

// drain passes the answer on until it ends or the sink returns an error.
func (s *answerBuffer) drain(sink peer.Sink) error {
	for {
		c, last, ok := s.next()
		if !ok {
			return nil
		}
		err := sink.Data(c.bytes, last)
		if c.counted {
			s.hold.Shrink(len(c.bytes))
		}
		wake(s.drained)
		if err != nil {
			s.fail(err)
			return err
		}
	}
}

// next waits for the next part. It returns ok = false once the answer has ended, and last with a part that is known
// to be the last one.
func (s *answerBuffer) next() (c chunk, last, ok bool) {
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
		<-s.readable
	}
}

// fail drops what was not passed on and makes every later put return an error.
func (s *answerBuffer) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
	for _, c := range s.chunks {
		if c.counted {
			s.hold.Shrink(len(c.bytes))
		}
	}
	s.chunks = nil
	wake(s.drained)
}
