package ingress

import (
	"sync"
	"testing"
)

// TestLateWordOfAnEarlierSend checks that a word which comes after its send has ended counts for no send.
func TestLateWordOfAnEarlierSend(t *testing.T) {
	var w lateWatch
	told := 0
	w.begin(func() { told++ })
	w.note()
	if got, want := w.end(), true; got != want {
		t.Errorf("overdue: got %v, want %v", got, want)
	}
	w.note()
	w.begin(func() { told++ })
	if got, want := w.end(), false; got != want {
		t.Errorf("next send: got %v, want %v", got, want)
	}
	if got, want := told, 1; got != want {
		t.Errorf("told: got %d times, want %d", got, want)
	}
}

// TestLateWordAtAnyMoment lets timers tell of sends that begin and end meanwhile; the race detector judges.
func TestLateWordAtAnyMoment(*testing.T) {
	a := &answer{}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				a.Late()
			}
		})
	}
	for range 1000 {
		a.late.begin(func() {})
		a.late.end()
	}
	wg.Wait()
}
