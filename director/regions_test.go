package director

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

func mustService(t *testing.T, s *table.State) table.ServiceView {
	t.Helper()
	v, ok := s.Service("desk")
	if !ok {
		t.Fatal("service: got none, want desk")
	}
	return v
}

// TestRegionsBindTheChoice draws halls in regions, some evacuated, and regions where data may be: whatever else a request wishes, no endpoint
// elsewhere is chosen; as long as one there is open one is chosen, and where none is, that is said.
func TestRegionsBindTheChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const halls = 8
		var evacuated []int
		regions := make(map[string]string)
		for h := range halls {
			regions[fmt.Sprintf("hall-%d", h)] = rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(rt, "region")
			if rapid.IntRange(0, 3).Draw(rt, "evacuated") == 0 {
				evacuated = append(evacuated, h)
			}
		}
		s := hallsState(t, halls, 6, evacuated...)
		log := zerolog.Nop()
		d := New(Config{
			Host: "h0-00", Hall: "hall-0", RegionOf: func(hall string) string { return regions[hall] },
		}, &log, func() *table.State { return s }, func(string) bool { return false }, func(string) bool { return true })
		if err := d.Start(t.Context()); err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = d.Stop(context.Background()) }()
		w := PickOptions{
			Regions:         region.Any.Intersect(rapid.SampledFrom([][]string{{"a"}, {"b", "c"}, {"d"}}).Draw(rt, "bound")),
			RequireFreeSlot: rapid.Bool().Draw(rt, "free"), ShortestWait: rapid.Bool().Draw(rt, "least"), Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		}
		open := 0
		for _, e := range mustService(t, s).Endpoints {
			if w.Regions.Allows(regions[e.Value.Hall]) && !s.Evacuated(e.Value.Hall) {
				open++
			}
		}
		for n := range open + 1 {
			p, got := picked(t, d, w)
			if n == open {
				if got != string(fault.OutOfRegion) {
					rt.Fatalf("after all %d: got %s, want %s", open, got, fault.OutOfRegion)
				}
				return
			}
			if p.Endpoint.Key == "" || !w.Regions.Allows(regions[p.Endpoint.Value.Hall]) || s.Evacuated(p.Endpoint.Value.Hall) {
				rt.Fatalf("choice %d of %d: got %s in %s of %q", n, open, got, p.Endpoint.Value.Hall, regions[p.Endpoint.Value.Hall])
			}
			w.Exclude = append(w.Exclude, got)
		}
	})
}
