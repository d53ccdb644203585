package configsync

import (
	"strings"
	"testing"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// TestUndecodableAnnouncements has other writers store announcements that no node writes, over valid ones and beside
// them: they add no host and remove none, and the announcements after them are still read.
func TestUndecodableAnnouncements(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	announceHost(t, s, "h2", false)
	announceHost(t, s, "h3", false)
	named := func(s *Snapshot, id string) bool { _, ok := s.ByID[id]; return ok }
	wait(t, f, "the valid announcements", func(s *Snapshot) bool { return named(s, "h2") && named(s, "h3") })
	valid := `{"id":"h4","hall":"hall-1","address":"127.0.0.1:4"}`
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
		{"h4", valid},
	} {
		commit(t, s, platform.Write{Key: HostPrefix + c.key, Value: []byte(c.value)})
		if i == 4 {
			// The remaining records arrive with a read of the whole table.
			s.SetFaults(store.Faults{ForgetHistory: true})
		}
	}
	wait(t, f, "the valid announcement after them", func(s *Snapshot) bool { return named(s, "h4") })
	snap := f.Snapshot()
	if got, want := len(snap.Hosts), 4; got != want || !named(snap, "h2") || !named(snap, "h3") || !named(snap, "h8") {
		t.Errorf("hosts: got %v, want h2, h3, h4 and h8", snap.Hosts)
	}
	if got := snap.ByID["h8"].Endpoints; len(got) != 1 || got[0].Key != "e10" {
		t.Errorf("endpoints of h8: got %v, want only the valid one", got)
	}
	announce(t, s, table.HostInfo{ID: "h2", Hall: "hall-1", Address: "127.0.0.1:22"})
	wait(t, f, "a valid announcement again", func(s *Snapshot) bool { return s.ByID["h2"].Address == "127.0.0.1:22" })
}

// TestOddAnnouncementsCostNoOther guards against nodes that end, or stop following, because another writer has left one odd entry among
// those of the hosts and their endpoints: nested very deeply, with a number too large, or with a port out of range.
func TestOddAnnouncementsCostNoOther(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	endpoint := func(cells string) string {
		return `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","endpoints":[{"key":"odd","value":{"Service":"desk","Host":"odd","Hall":"hall-1",` + cells + `}}]}`
	}
	for name, value := range map[string]string{
		"deep":                    deep,
		"deep in a field":         `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","x":` + deep + `}`,
		"deep among endpoints":    `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","endpoints":[` + deep + `]}`,
		"incarnation too large":   `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","incarnation":36893488147419103232}`,
		"incarnation too small":   `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","incarnation":-1}`,
		"number without an end":   `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","incarnation":1e99999}`,
		"port of a node":          `{"id":"odd","hall":"hall-1","address":"127.0.0.1:70000"}`,
		"negative port of a node": `{"id":"odd","hall":"hall-1","address":"127.0.0.1:-1"}`,
		"port of an endpoint":     endpoint(`"Address":"127.0.0.1:70000"`),
		"slots too many":          endpoint(`"Address":"127.0.0.1:2","Slots":36893488147419103232`),
		"weight too large":        endpoint(`"Address":"127.0.0.1:2","Weight":1e400`),
		"past of another type":    `{"id":"odd","hall":"hall-1","address":"127.0.0.1:1","ended":{"a":1}}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := store.New()
			f := startFollower(t, s)
			configure(t, s, "7", "a")
			announceHost(t, s, "h2", false)
			commit(t, s, platform.Write{Key: HostPrefix + "odd", Value: []byte(value)})
			announceHost(t, s, "h3", false)
			configure(t, s, "9", "b")
			late := startFollower(t, s)
			for _, f := range []*Follower{f, late} {
				wait(t, f, "what follows the odd entry", func(s *Snapshot) bool {
					return s.ByID["h2"].ID != "" && s.ByID["h3"].ID != "" && routed("/b/", true)(s)
				})
				if got := f.Snapshot().ByID["odd"].Endpoints; len(got) > 0 {
					t.Errorf("endpoints of the odd entry: got %v, want none", got)
				}
			}
		})
	}
}
