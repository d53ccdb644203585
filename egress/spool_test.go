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

// reader takes an answer with a pause after each piece, and no more than most pieces, 0 for all.
type reader struct {
	peer.Sink
	pause time.Duration
	most  int
	took  bytes.Buffer
	last  bool
}

// Data implements peer.Sink.
func (r *reader) Data(b []byte, last bool) error {
	if r.most--; r.most == 0 {
		return fault.New(fault.Canceled, "", "caller has gone")
	}
	time.Sleep(r.pause)
	r.took.Write(b)
	r.last = last
	return nil
}

func unwanted() (wanted <-chan struct{}, over func()) { return nil, func() {} }

// TestSpoolPassesAnswerOn draws answers, readers and budgets that others use too: what a reader takes is the answer from its beginning, the
// whole of it unless it goes away or there is no room for long, and nothing stays held.
func TestSpoolPassesAnswerOn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size, others := rapid.IntRange(1, 4000).Draw(rt, "size"), rapid.IntRange(0, 2000).Draw(rt, "others")
		r := &reader{
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond, most: rapid.IntRange(0, 10).Draw(rt, "most"),
		}
		pieces := rapid.SliceOfN(rapid.IntRange(1, 500), 0, 20).Draw(rt, "pieces")
		var wrong string
		synctest.Test(t, func(t *testing.T) {
			b := memory.New(int64(size))
			hold := b.NewReservation("others")
			hold.Grow(others)
			wrong = passOn(t.Context(), b, r, pieces)
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

// passOn passes an answer of some pieces to a reader, and returns what was wrong with it.
func passOn(ctx context.Context, b *memory.Budget, r *reader, pieces []int) string {
	s := newSpool(b.NewReservation("c"), unwanted)
	var answer []byte
	done := make(chan error, 1)
	go func() {
		var err error
		for i, n := range pieces {
			piece := bytes.Repeat([]byte{byte(i)}, n)
			if err = s.put(ctx, piece); err != nil {
				break
			}
			answer = append(answer, piece...)
		}
		s.close()
		done <- err
	}()
	gone := s.drain(r)
	put := <-done
	if !bytes.HasPrefix(answer, r.took.Bytes()) {
		return fmt.Sprintf("answer: got %d bytes that are not its beginning, want a part of %d", r.took.Len(), len(answer))
	}
	if gone != nil {
		return ""
	}
	if r.took.Len() != len(answer) {
		return fmt.Sprintf("answer: got %d bytes, want all %d", r.took.Len(), len(answer))
	}
	if code := fault.CodeOf(put); put != nil && (code != fault.CallerSlow || r.pause < stallLimit) {
		return fmt.Sprintf("given up with %s at a pause of %s, want that only past %s", code, r.pause, stallLimit)
	}
	return ""
}

// TestSpoolGivesSlotBack checks when an answer for which there is no room is given up: after stallLimit, or when another request wants the
// slot of a caller that has read nothing for slowAfter.
func TestSpoolGivesSlotBack(t *testing.T) {
	for _, c := range []struct {
		name       string
		wanted     time.Duration
		wantsAfter time.Duration
	}{
		{"nobody wants it", time.Hour, stallLimit},
		{"wanted at once", 0, slowAfter},
		{"wanted later", time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wanted := make(chan struct{}, 1)
				timer := time.AfterFunc(c.wanted, func() { wanted <- struct{}{} })
				defer timer.Stop()
				s := newSpool(memory.New(1).NewReservation("c"), func() (<-chan struct{}, func()) { return wanted, func() {} })
				start := time.Now()
				if err := s.put(t.Context(), make([]byte, 10)); err != nil {
					t.Fatalf("first piece: got %v, want it taken", err)
				}
				err := s.put(t.Context(), make([]byte, 10))
				if got := time.Since(start); fault.CodeOf(err) != fault.CallerSlow || got != c.wantsAfter {
					t.Errorf("given up: got %v after %s, want caller_slow after %s", err, got, c.wantsAfter)
				}
				if s.held != c.wantsAfter {
					t.Errorf("held up: got %s, want %s", s.held, c.wantsAfter)
				}
			})
		})
	}
}

// TestSpoolEndsWithItsCaller checks that a put that waits ends when the caller goes away.
func TestSpoolEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSpool(memory.New(1).NewReservation("c"), unwanted)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		for i, want := range []fault.Code{"", fault.Canceled} {
			if got := fault.CodeOf(s.put(ctx, make([]byte, 10))); got != want {
				t.Errorf("piece %d: got %q, want %q", i, got, want)
			}
		}
	})
}
