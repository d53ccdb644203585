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

// TestRegionsRestrictPicks draws halls in regions, some halls evacuated, and the regions where a request's data may be.
// Whatever the other options, no endpoint outside these regions may be picked. Every available endpoint inside them
// must be picked eventually, and after them the pick must fail with OutOfRegion.
func TestRegionsRestrictPicks(t *testing.T) {
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
		s := stateWithHalls(t, halls, 6, evacuated...)
		log := zerolog.Nop()
		d := New(Config{
			Host: "h0-00", Hall: "hall-0", RegionOf: func(hall string) string { return regions[hall] },
		}, &log, func() *table.State { return s }, func(string) bool { return false }, func(string) bool { return true })
		if err := d.Start(t.Context()); err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = d.Stop(context.Background()) }()
		opts := PickOptions{
			Regions:         region.Any.Intersect(rapid.SampledFrom([][]string{{"a"}, {"b", "c"}, {"d"}}).Draw(rt, "restricted to")),
			RequireFreeSlot: rapid.Bool().Draw(rt, "free slot"), ShortestWait: rapid.Bool().Draw(rt, "shortest wait"), Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		}
		available := 0
		for _, e := range mustService(t, s).Endpoints {
			if opts.Regions.Allows(regions[e.Value.Hall]) && !s.Evacuated(e.Value.Hall) {
				available++
			}
		}
		for n := range available + 1 {
			p, got := pickKey(t, d, opts)
			if n == available {
				if got != string(fault.OutOfRegion) {
					rt.Fatalf("after all %d: got %s, want %s", available, got, fault.OutOfRegion)
				}
				return
			}
			if p.Endpoint.Key == "" || !opts.Regions.Allows(regions[p.Endpoint.Value.Hall]) || s.Evacuated(p.Endpoint.Value.Hall) {
				rt.Fatalf("choice %d of %d: got %s in %s of %q", n, available, got, p.Endpoint.Value.Hall, regions[p.Endpoint.Value.Hall])
			}
			opts.Exclude = append(opts.Exclude, got)
		}
	})
}
