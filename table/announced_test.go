package table

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAnnouncedEndpointsIndependentOfHistory applies random lists of announced endpoints in succession and checks that
// each gives the same result as on a state without endpoints: the same rows, and services that list just these
// endpoints.
func TestAnnouncedEndpointsIndependentOfHistory(t *testing.T) {
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
			if got, want := describeAnnounced(next), describeAnnounced(fresh); !slices.Equal(got, want) {
				t.Fatalf("after %d lists: got %q, want %q", step+1, got, want)
			}
			s = next
		}
	})
}

// TestRepeatedAnnouncementsKeepState checks that a list of announced endpoints equal to the current one returns the
// same state, so that no change is reported.
func TestRepeatedAnnouncementsKeepState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawAnnounced(t)
		s := NewState().WithEndpoints(1, list)
		again := s.WithEndpoints(1, list)
		if got, want := again, s; got != want {
			t.Errorf("state: got a new state, want the same one")
		}
	})
}

// drawAnnounced draws a list of endpoints with distinct keys, some of them draining or retired.
func drawAnnounced(t *rapid.T) []Announced {
	var list []Announced
	for i := range 8 {
		if !rapid.Bool().Draw(t, "present") {
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

// describeAnnounced returns a text for each announced endpoint of a state and for each endpoint that a service lists.
func describeAnnounced(s *State) []string {
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
