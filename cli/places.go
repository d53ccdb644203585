package cli

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// places are the halls and regions that there are, with those that some edits make.
type places struct {
	halls, regions map[string]bool
}

// checkPlaces refuses edits that evacuate a hall, or bind data to a region, that does not exist.
func (a *app) checkPlaces(edits []changes.Edit) error {
	if !slices.ContainsFunc(edits, namesPlace) {
		return nil
	}
	p := places{halls: make(map[string]bool), regions: make(map[string]bool)}
	for _, kind := range []table.Kind{table.KindEndpoint, table.KindHall} {
		rows, err := a.reader.Sheet(a.ctx, kind)
		if err != nil {
			return err
		}
		p.add(rows)
	}
	if err := a.addAnnounced(p.halls); err != nil {
		return err
	}
	rows := make([]table.Row, 0, len(edits))
	for _, e := range edits {
		rows = append(rows, e.Row)
	}
	p.add(rows)
	var bad fault.ListError
	for _, r := range rows {
		bad = append(bad, p.check(r)...)
	}
	return bad.OrNil()
}

// namesPlace tells whether an edit names a hall or a region that must exist.
func namesPlace(e changes.Edit) bool {
	hall, _ := table.Decode[table.Hall](e.Row)
	return bool(hall.Evacuated) || len(regionsOf(e.Row)) > 0
}

// regionsOf are the regions to which a row binds data.
func regionsOf(r table.Row) []string {
	if r.Deleted {
		return nil
	}
	route, _ := table.Decode[table.Route](r)
	customer, _ := table.Decode[table.Customer](r)
	return slices.Concat(route.Regions.List(), customer.Regions.List())
}

// add takes the places that rows make.
func (p places) add(rows []table.Row) {
	for _, r := range rows {
		if e, err := table.Decode[table.Endpoint](r); err == nil && !r.Deleted {
			p.halls[e.Hall] = true
		}
		if h, err := table.Decode[table.Hall](r); err == nil && !r.Deleted && h.Region != "" {
			p.halls[r.Key], p.regions[h.Region] = true, true
		}
	}
}

// check refuses a row that names a place which does not exist.
func (p places) check(r table.Row) (bad fault.ListError) {
	if h, err := table.Decode[table.Hall](r); err == nil && bool(h.Evacuated) && !p.halls[r.Key] {
		bad = append(bad, fault.New(fault.BadRow, "hall "+r.Key+" evacuated", "no host or endpoint stands in such a hall; there are: "+listOf(p.halls)))
	}
	for _, region := range regionsOf(r) {
		if !p.regions[region] {
			where := r.Kind.String() + " " + r.Key + " regions"
			bad = append(bad, fault.New(fault.BadRow, where, "no hall is in the region \""+region+"\"; there are: "+listOf(p.regions)))
		}
	}
	return bad
}

func listOf(names map[string]bool) string { return strings.Join(slices.Sorted(maps.Keys(names)), ", ") }

// addAnnounced adds the halls of the hosts that have announced themselves.
func (a *app) addAnnounced(halls map[string]bool) error {
	after := ""
	for more := true; more; {
		page, err := a.table.Scan(a.ctx, configsync.HostPrefix, after, platform.MostRows)
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			var line table.HostInfo
			if json.Unmarshal(rec.Value, &line) == nil && line.Hall != "" {
				halls[line.Hall] = true
			}
			after = rec.Key
		}
		more = page.More
	}
	return nil
}
