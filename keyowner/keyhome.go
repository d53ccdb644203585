package keyowner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/table"
)

// Count is how many homes a key has: the first, and the one that takes first attempts while that cannot be reached.
const OwnersPerKey = 2

// Names returns the endpoints that can be homes, in key order: those in the table that fit, because the platform's list shows their hosts
// and the key's data may be there. Draining ones stay homes until they are retired. A host that the list no longer shows is gone and grants
// nothing more, so that nodes whose lists differ for a while still meet in a home that both name.
func Candidates(v table.ServiceView, fits func(table.Endpoint) bool) []string {
	names := make([]string, 0, len(v.Endpoints))
	for _, e := range v.Endpoints {
		if fits(e.Value) {
			names = append(names, e.Key)
		}
	}
	return names
}

// Homes returns the homes of a key, first the one that decides.
func Owners(endpoints []string, id dedupe.ID) []string {
	type ranked struct {
		name string
		rank uint64
	}
	list := make([]ranked, 0, len(endpoints))
	for _, name := range endpoints {
		list = append(list, ranked{name: name, rank: rank(name, id)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	homes := make([]string, 0, OwnersPerKey)
	for _, r := range list[:min(OwnersPerKey, len(list))] {
		homes = append(homes, r.name)
	}
	return homes
}

func rank(name string, id dedupe.ID) uint64 {
	d := xxhash.New()
	for _, part := range []string{name, id.Scope, id.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
