package table

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAnnouncedFromAnyState draws lists of announced endpoints one after the other and checks that each leads to what it leads
// to from a state without any: the same endpoints with the same cells, and the services' lists made of just these.
func TestAnnouncedFromAnyState(t *testing.T) {
	service, err := NewRow(KindService, "s0", nil)
	if err != nil {
		t.Fatal(err)
	}
	empty, err := NewState().With(Delta{Full: true, To: 1, Rows: []Row{service}})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := empty
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			list := drawAnnounced(t)
			next := s.WithEndpoints(uint64(step)+1, list)
			fresh := empty.WithEndpoints(uint64(step)+1, list)
			if got, want := announcedOf(next), announcedOf(fresh); !slices.Equal(got, want) {
				t.Fatalf("after %d lists: got %q, want %q", step+1, got, want)
			}
			s = next
		}
	})
}

// TestAnnouncedAgainChangesNothing checks that a list which says what is known already leaves the state as it is, so that
// nobody is told of it.
func TestAnnouncedAgainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawAnnounced(t)
		s := NewState().WithEndpoints(1, list)
		again := s.WithEndpoints(1, list)
		if got, want := again, s; got != want {
			t.Errorf("state: got a new one, want the same")
		}
	})
}

// drawAnnounced draws endpoints with names of their own, some of which leave.
func drawAnnounced(t *rapid.T) []Announced {
	var list []Announced
	for i := range 8 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		list = append(list, Announced{Key: fmt.Sprintf("e%d", i), Value: Endpoint{
			Service: fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(t, "service")), Host: "h", Hall: "hall", Address: "127.0.0.1:1",
			Slots: Count(rapid.IntRange(1, 3).Draw(t, "slots")), Weight: 1,
			Phase: rapid.SampledFrom([]Phase{Active, Draining, Retired}).Draw(t, "phase"),
		}})
	}
	return list
}

// announcedOf describes the announced endpoints of a state, by themselves and as its services list them.
func announcedOf(s *State) []string {
	var out []string
	visitRows(s.endpoints, KindEndpoint, func(r Row) { out = append(out, fmt.Sprint(r.Key, r.Cells)) })
	for it := s.services.Iterator(); !it.Done(); {
		name, v, _ := it.Next()
		for i, e := range v.Endpoints {
			out = append(out, fmt.Sprint(name, v.Known, i, e.Key, e.Value))
		}
	}
	slices.Sort(out)
	return out
}
