package egress

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
)

// slowReader reads an answer with a pause after each part. It fails at part number maxParts, never if that is 0.
type slowReader struct {
	peer.Sink
	pause    time.Duration
	maxParts int
	received bytes.Buffer
	last     bool
}

// Data implements peer.Sink.
func (r *slowReader) Data(b []byte, last bool) error {
	if r.maxParts--; r.maxParts == 0 {
		return fault.New(fault.Canceled, "", "caller has gone")
	}
	time.Sleep(r.pause)
	r.received.Write(b)
	r.last = last
	return nil
}

func ignoreStall() (wanted <-chan struct{}, over func()) { return nil, func() {} }

// TestAnswerBufferPassesAnswerOn draws answers, readers and budgets that others use too. A reader receives a prefix
// of the answer: the whole of it unless the reader fails or there is no memory for long. No memory stays held.
func TestAnswerBufferPassesAnswerOn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size, others := rapid.IntRange(1, 4000).Draw(rt, "size"), rapid.IntRange(0, 2000).Draw(rt, "others")
		r := &slowReader{
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond, maxParts: rapid.IntRange(0, 10).Draw(rt, "most"),
		}
		parts := rapid.SliceOfN(rapid.IntRange(1, 500), 0, 20).Draw(rt, "pieces")
		var wrong string
		synctest.Test(t, func(t *testing.T) {
			b := memory.New(int64(size))
			hold := b.NewReservation("others")
			hold.Grow(others)
			wrong = passThrough(t.Context(), b, r, parts)
			hold.Release()
			if used := b.Usage().Used; wrong == "" && used != 0 {
				wrong = fmt.Sprintf("held at the end: got %d bytes, want 0", used)
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// passThrough passes an answer in parts to a reader, and returns what was wrong, "" for nothing.
func passThrough(ctx context.Context, b *memory.Budget, r *slowReader, parts []int) string {
	s := newAnswerBuffer(b.NewReservation("c"), ignoreStall)
	var answer []byte
	done := make(chan error, 1)
	go func() {
		var err error
		for i, n := range parts {
			part := bytes.Repeat([]byte{byte(i)}, n)
			if err = s.put(ctx, part); err != nil {
				break
			}
			answer = append(answer, part...)
		}
		s.close()
		done <- err
	}()
	drainErr := s.drain(r)
	putErr := <-done
	if !bytes.HasPrefix(answer, r.received.Bytes()) {
		return fmt.Sprintf("answer: got %d bytes that are not its beginning, want a prefix of %d", r.received.Len(), len(answer))
	}
	if drainErr != nil {
		return ""
	}
	if r.received.Len() != len(answer) {
		return fmt.Sprintf("answer: got %d bytes, want all %d", r.received.Len(), len(answer))
	}
	if code := fault.CodeOf(putErr); putErr != nil && (code != fault.CallerSlow || r.pause < stallTimeout) {
		return fmt.Sprintf("given up with %s at a pause of %s, want that only for pauses from %s", code, r.pause, stallTimeout)
	}
	return ""
}

// TestAnswerBufferGivesUpStalledCaller checks when an answer for which there is no memory is given up: after
// stallTimeout, or when another request wants the slot of a caller that has read nothing for reclaimDelay.
func TestAnswerBufferGivesUpStalledCaller(t *testing.T) {
	for _, c := range []struct {
		name       string
		wanted     time.Duration
		wantsAfter time.Duration
	}{
		{"nobody wants it", time.Hour, stallTimeout},
		{"wanted at once", 0, reclaimDelay},
		{"wanted later", time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wanted := make(chan struct{}, 1)
				timer := time.AfterFunc(c.wanted, func() { wanted <- struct{}{} })
				defer timer.Stop()
				s := newAnswerBuffer(memory.New(1).NewReservation("c"), func() (<-chan struct{}, func()) { return wanted, func() {} })
				start := time.Now()
				if err := s.put(t.Context(), make([]byte, 10)); err != nil {
					t.Fatalf("first part: got %v, want it taken", err)
				}
				err := s.put(t.Context(), make([]byte, 10))
				if got := time.Since(start); fault.CodeOf(err) != fault.CallerSlow || got != c.wantsAfter {
					t.Errorf("given up: got %v after %s, want caller_slow after %s", err, got, c.wantsAfter)
				}
				if s.stalledFor != c.wantsAfter {
					t.Errorf("time stalled: got %s, want %s", s.stalledFor, c.wantsAfter)
				}
			})
		})
	}
}

// TestAnswerBufferEndsWithItsCaller checks that a put that waits ends when the caller leaves.
func TestAnswerBufferEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAnswerBuffer(memory.New(1).NewReservation("c"), ignoreStall)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		for i, want := range []fault.Code{"", fault.Canceled} {
			if got := fault.CodeOf(s.put(ctx, make([]byte, 10))); got != want {
				t.Errorf("part %d: got %q, want %q", i, got, want)
			}
		}
	})
}
