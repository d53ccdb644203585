package keyowner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/table"
)

// OwnersPerKey is how many owners a key has: the first one, and one that takes first attempts while the first is
// unreachable.
const OwnersPerKey = 2

// Candidates returns the endpoints that can own a key, in key order: those in the table that eligible accepts, because
// their hosts are on the platform's list and the key's data may be stored there. Draining endpoints remain owners until
// they are retired. A host that is no longer on the list has expired and grants nothing more, so nodes whose lists
// differ for a while still agree on an owner that both lists contain.
func Candidates(v table.ServiceView, eligible func(table.Endpoint) bool) []string {
	names := make([]string, 0, len(v.Endpoints))
	for _, e := range v.Endpoints {
		if eligible(e.Value) {
			names = append(names, e.Key)
		}
	}
	return names
}

// Owners returns the owners of a key; the first one decides.
func Owners(endpoints []string, id dedupe.ID) []string {
	type ranked struct {
		name string
		rank uint64
	}
	ranking := make([]ranked, 0, len(endpoints))
	for _, name := range endpoints {
		ranking = append(ranking, ranked{name: name, rank: rank(name, id)})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	owners := make([]string, 0, OwnersPerKey)
	for _, r := range ranking[:min(OwnersPerKey, len(ranking))] {
		owners = append(owners, r.name)
	}
	return owners
}

// rank is the rendezvous hash of an endpoint and a key; the highest rank owns the key.
func rank(name string, id dedupe.ID) uint64 {
	d := xxhash.New()
	for _, part := range []string{name, id.Scope, id.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
