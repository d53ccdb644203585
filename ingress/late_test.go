package ingress

import (
	"sync"
	"testing"
)

// TestLateReportOfEarlierSend checks that a report which arrives after its send has ended applies to no send.
func TestLateReportOfEarlierSend(t *testing.T) {
	var n lateNotifier
	notified := 0
	n.begin(func() { notified++ })
	n.note()
	if got, want := n.end(), true; got != want {
		t.Errorf("overdue: got %v, want %v", got, want)
	}
	n.note()
	n.begin(func() { notified++ })
	if got, want := n.end(), false; got != want {
		t.Errorf("next send: got %v, want %v", got, want)
	}
	if got, want := notified, 1; got != want {
		t.Errorf("notified: got %d times, want %d", got, want)
	}
}

// TestLateReportsConcurrently reports sends as late while they begin and end, for the race detector.
func TestLateReportsConcurrently(*testing.T) {
	a := &answer{}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				a.ReportOverdue()
			}
		})
	}
	for range 1000 {
		a.late.begin(func() {})
		a.late.end()
	}
	wg.Wait()
}
