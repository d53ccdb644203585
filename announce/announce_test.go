package announce

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

const waitLimit = 10 * time.Second

func startAnnouncer(t *testing.T, s *store.Store, incarnation uint64) *Announcer {
	t.Helper()
	log := zerolog.Nop()
	a := New(Config{
		Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: incarnation},
		RetryInterval: 5 * time.Millisecond, Timeout: time.Second,
	}, &log, store.NewLocal(s))
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Stop(context.Background()) })
	return a
}

// storedAnnouncement returns this host's announcement, and whether the store holds one.
func storedAnnouncement(t *testing.T, s *store.Store) (table.HostInfo, bool) {
	t.Helper()
	recs, err := store.NewLocal(s).Get(t.Context(), configsync.HostPrefix+"h1")
	if err != nil {
		return table.HostInfo{}, false
	}
	var h table.HostInfo
	if recs[0].Version == 0 || json.Unmarshal(recs[0].Value, &h) != nil {
		return h, false
	}
	h.Version = recs[0].Version
	return h, true
}

func waitForAnnouncement(t *testing.T, s *store.Store, what string, matches func(h table.HostInfo, ok bool) bool) table.HostInfo {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h, ok := storedAnnouncement(t, s); matches(h, ok) {
			return h
		}
	}
	h, ok := storedAnnouncement(t, s)
	t.Fatalf("%s: got %+v, %v", what, h, ok)
	return h
}

func endpoints(keys ...string) []table.Announced {
	var list []table.Announced
	for _, key := range keys {
		list = append(list, table.Announced{Key: key})
	}
	return list
}

func hasEndpoint(key string) func(table.HostInfo, bool) bool {
	return func(h table.HostInfo, ok bool) bool {
		return ok && len(h.Endpoints) == 1 && h.Endpoints[0].Key == key
	}
}

// TestDelayedWriteDoesNotOverwriteNewer loses the answer to a write that the store then applies only after a newer
// write. The newer announcement must stay.
func TestDelayedWriteDoesNotOverwriteNewer(t *testing.T) {
	s := store.New()
	a := startAnnouncer(t, s, 1)
	waitForAnnouncement(t, s, "first announcement", func(_ table.HostInfo, ok bool) bool { return ok })
	const late = 300 * time.Millisecond
	s.SetFaults(store.Faults{LoseReplies: 1, LateMillis: int(late.Milliseconds())})
	a.Announce(endpoints("old"), table.PastIncarnations{})
	time.Sleep(batchDelay + 50*time.Millisecond)
	a.Announce(endpoints("new"), table.PastIncarnations{})
	waitForAnnouncement(t, s, "newer endpoint", hasEndpoint("new"))
	time.Sleep(late)
	if h, ok := storedAnnouncement(t, s); !hasEndpoint("new")(h, ok) {
		t.Errorf("after the late write: got %+v, want the newer endpoint", h.Endpoints)
	}
}

// TestAnnouncementIsRestoredAfterOutageAndRemoval checks that an announcement is written after an outage of the store,
// and again after another node has removed it.
func TestAnnouncementIsRestoredAfterOutageAndRemoval(t *testing.T) {
	s := store.New()
	s.SetFaults(store.Faults{Down: true})
	a := startAnnouncer(t, s, 1)
	a.Announce(endpoints("i1"), table.PastIncarnations{})
	time.Sleep(50 * time.Millisecond)
	s.SetFaults(store.Faults{})
	h := waitForAnnouncement(t, s, "after the outage", hasEndpoint("i1"))

	log := zerolog.Nop()
	hosts := []table.HostInfo{h, {ID: "h2", Address: "127.0.0.1:2"}}
	snap := &configsync.Snapshot{State: table.NewState(), Hosts: hosts}
	links := unreachable{"127.0.0.1:1": time.Now().Add(-time.Minute)}
	r := NewReaper("h2", time.Second, time.Second, &log, store.NewLocal(s), links, func() *configsync.Snapshot { return snap })
	if got := r.expired(time.Now(), hosts); len(got) != 1 || got[0].ID != h.ID {
		t.Fatalf("hosts for h2 to remove: got %v, want %s", got, h.ID)
	}
	r.remove(t.Context(), h)
	if _, ok := storedAnnouncement(t, s); ok {
		t.Fatal("got an announcement of an expired host, want none")
	}
	state := table.NewState().WithEndpoints(h.Version+1, nil)
	a.Observe(&configsync.Snapshot{State: state})
	waitForAnnouncement(t, s, "written again", hasEndpoint("i1"))
	a.Withdraw()
	waitForAnnouncement(t, s, "withdrawn", func(_ table.HostInfo, ok bool) bool { return !ok })
}

type unreachable map[string]time.Time

func (u unreachable) UnreachableSince(address string) time.Time { return u[address] }

func (u unreachable) LinkHealthy(address string) bool { return u[address].IsZero() }

func (unreachable) KeepOpen(string) {}

// TestIsolatedReaperRemovesNothing checks that a node which cannot reach most of the other hosts removes none of them.
func TestIsolatedReaperRemovesNothing(t *testing.T) {
	log := zerolog.Nop()
	minuteAgo := time.Now().Add(-time.Minute)
	hosts := []table.HostInfo{{ID: "h1", Address: "1"}, {ID: "h2", Address: "2"}, {ID: "h3", Address: "3"}}
	r := NewReaper("h1", time.Second, time.Second, &log, nil, unreachable{"2": minuteAgo, "3": minuteAgo}, nil)
	if got := r.expired(time.Now(), hosts); len(got) != 0 {
		t.Errorf("hosts removed: got %v, want none", got)
	}
}
