package inflight

import (
	"fmt"
	"testing"
	"time"
)

// TestMarksEndWithTheirRequests guards against marks of failed calls that outlive their requests, that reach another request
// of the same id, or that one of two sends of a request takes from the other.
func TestMarksEndWithTheirRequests(t *testing.T) {
	var r Requests
	r.MarkCallFailed("a")
	r.Begin("a", false, time.Time{})
	if r.End("a", false) {
		t.Error("marked before it began: got marked, want not")
	}
	r.Begin("a", false, time.Time{})
	r.Begin("a", true, time.Time{})
	r.Begin("b", false, time.Time{})
	r.MarkCallFailed("a")
	if !r.End("a", false) || !r.End("a", true) {
		t.Error("two sends of a marked request: got one not marked, want both marked")
	}
	if r.End("b", false) {
		t.Error("another request: got marked, want not")
	}
	r.Begin("a", false, time.Time{})
	if r.End("a", false) {
		t.Error("a later request of the same id: got marked, want not")
	}
	if got := len(r.byRequest); got != 0 {
		t.Errorf("requests held when none is in flight: got %d, want none", got)
	}
}

// BenchmarkMarkedRequest measures a request in flight among 1,000 whose call fails.
func BenchmarkMarkedRequest(b *testing.B) {
	var r Requests
	for i := range 1000 {
		r.Begin(fmt.Sprint("other-", i), false, time.Time{})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Begin("a", false, time.Time{})
		r.MarkCallFailed("a")
		r.End("a", false)
	}
}
