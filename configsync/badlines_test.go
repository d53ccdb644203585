package configsync

import (
	"testing"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// TestLinesOfOtherWriters has other writers put into the list of hosts what no node writes, over lines that stand and beside them:
// it names no host, takes none away, and the lines behind it are read.
func TestLinesOfOtherWriters(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	announceHost(t, s, "h2", false)
	announceHost(t, s, "h3", false)
	named := func(s *Snapshot, id string) bool { _, ok := s.ByID[id]; return ok }
	wait(t, f, "the good lines", func(s *Snapshot) bool { return named(s, "h2") && named(s, "h3") })
	good := `{"id":"h4","hall":"hall-1","address":"127.0.0.1:4"}`
	for i, c := range []struct{ key, value string }{
		{"h2", "\x00\xff not text"},
		{"h2", `{"id":"h2","hall":7,"address":"127.0.0.1:1"}`},
		{"h5", `{"id":"h6","hall":"hall-1","address":"127.0.0.1:1"}`},
		{"h6", `{"id":"h6","hall":"hall-1","address":"nowhere"}`},
		{"h7", `{"id":"h7","address":"127.0.0.1:1"}`},
		{"h8", `{"id":"h8","hall":"hall-1","address":"127.0.0.1:1","endpoints":[
			{"key":"e8","value":{"Service":"desk","Host":"h8","Hall":"hall-1","Address":"?"}}, 7, {"key":"e9","value":{"Phase":"odd"}},
			{"key":"e10","value":{"Service":"desk","Host":"h8","Hall":"hall-1","Address":"127.0.0.1:2"}}]}`},
		{"h9", `[]`},
		{"h9", ``},
		{"h4", good},
	} {
		commit(t, s, platform.Write{Key: HostPrefix + c.key, Value: []byte(c.value)})
		if i == 4 {
			// The rest comes with a read of the whole table.
			s.SetFaults(store.Faults{ForgetHistory: true})
		}
	}
	wait(t, f, "the good line behind", func(s *Snapshot) bool { return named(s, "h4") })
	snap := f.Snapshot()
	if got, want := len(snap.Hosts), 4; got != want || !named(snap, "h2") || !named(snap, "h3") || !named(snap, "h8") {
		t.Errorf("hosts: got %v, want h2, h3, h4 and h8", snap.Hosts)
	}
	if got := snap.ByID["h8"].Endpoints; len(got) != 1 || got[0].Key != "e10" {
		t.Errorf("endpoints of h8: got %v, want the good one alone", got)
	}
	announceAt(t, s, table.HostInfo{ID: "h2", Hall: "hall-1", Address: "127.0.0.1:22"})
	wait(t, f, "a good line again", func(s *Snapshot) bool { return s.ByID["h2"].Address == "127.0.0.1:22" })
}
