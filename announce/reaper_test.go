package announce

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/table"
)

// linkModel is the links of one node to a fleet of which some hosts are gone: it only finds out about hosts that it keeps a
// link to.
type linkModel struct {
	gone map[string]time.Time
	kept map[string]bool
}

func (l *linkModel) UnreachableSince(address string) time.Time {
	if !l.kept[address] {
		return time.Time{}
	}
	return l.gone[address]
}

func (l *linkModel) LinkHealthy(address string) bool {
	return l.kept[address] && l.gone[address].IsZero()
}

func (l *linkModel) KeepOpen(address string) { l.kept[address] = true }

// TestEachGoneHostIsTakenOutOnce draws fleets up to a hundred and more hosts of which some are gone: each of these is taken out by just
// one of the others, and nobody keeps a link to more hosts than that takes.
func TestEachGoneHostIsTakenOutOnce(t *testing.T) {
	log := zerolog.Nop()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "hosts")
		var hosts []table.HostInfo
		gone := make(map[string]time.Time)
		for i := range n {
			id := fmt.Sprintf("h%03d", i)
			hosts = append(hosts, table.HostInfo{ID: id, Address: id})
			if rapid.IntRange(0, 4).Draw(t, "gone") == 0 && len(gone) < n/4 {
				gone[id] = time.Now().Add(-time.Minute)
			}
		}
		taken := make(map[string]int)
		links := 0
		for _, h := range hosts {
			if !gone[h.ID].IsZero() {
				continue
			}
			l := &linkModel{gone: gone, kept: make(map[string]bool)}
			// A node reaches others besides, those that it sends to.
			for i := range min(n, 16) {
				if o := hosts[(i*7)%n]; gone[o.ID].IsZero() {
					l.kept[o.Address] = true
				}
			}
			before := len(l.kept)
			r := NewReaper(h.ID, time.Second, time.Second, &log, nil, l, nil)
			// A look opens links, a later one sees what came of them.
			for range 2 {
				r.gone(time.Now(), hosts)
			}
			for _, g := range r.gone(time.Now(), hosts) {
				taken[g.ID]++
			}
			links += len(l.kept) - before
		}
		for id := range gone {
			if got, want := taken[id], 1; got != want {
				t.Fatalf("times that %s is taken out: got %d, want %d", id, got, want)
			}
		}
		if got, want := len(taken), len(gone); got != want {
			t.Fatalf("hosts taken out: got %d, want %d", got, want)
		}
		if got, most := links, n; got > most {
			t.Fatalf("links for watching: got %d, want at most %d", got, most)
		}
	})
}
