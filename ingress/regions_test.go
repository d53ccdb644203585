package ingress

import (
	"testing"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

// TestRelaysAreInAllowedRegions checks by which halls an answer may be asked for again: those in a region where the request's data may be, and
// those of the region from which its caller came; where nobody says where a hall is, it is neither.
func TestRelaysAreInAllowedRegions(t *testing.T) {
	var rows []table.Row
	for hall, where := range map[string]string{"own": "near", "neighbour": "near", "home": "far", "other": "beyond"} {
		rows = append(rows, table.Encode(table.KindHall, hall, table.Meta{}, table.Hall{Region: where}))
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	snap := &configsync.Snapshot{State: s}
	x := &exchange{g: &Ingress{cfg: Config{Hall: "own"}, snapshot: func() *configsync.Snapshot { return snap }}}
	for _, c := range []struct {
		bound []string
		want  map[string]bool
	}{
		{nil, map[string]bool{"own": true, "neighbour": true, "home": true, "other": true, "unknown": true}},
		{[]string{"far"}, map[string]bool{"own": true, "neighbour": true, "home": true, "other": false, "unknown": false}},
	} {
		x.call.regions = region.Any.Intersect(c.bound)
		for hall, want := range c.want {
			if got := x.mayPass(hall); got != want {
				t.Errorf("data of %v by hall %s: got %v, want %v", c.bound, hall, got, want)
			}
		}
	}
}
