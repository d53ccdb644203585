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

// line returns this host's line, and whether there is one.
func line(t *testing.T, s *store.Store) (table.HostInfo, bool) {
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

func waitLine(t *testing.T, s *store.Store, what string, good func(h table.HostInfo, ok bool) bool) table.HostInfo {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h, ok := line(t, s); good(h, ok) {
			return h
		}
	}
	h, ok := line(t, s)
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

func shows(key string) func(table.HostInfo, bool) bool {
	return func(h table.HostInfo, ok bool) bool {
		return ok && len(h.Endpoints) == 1 && h.Endpoints[0].Key == key
	}
}

// TestLateWriteChangesNothing loses a write's answer and has the store do it only after a newer one: the newer one stays.
func TestLateWriteChangesNothing(t *testing.T) {
	s := store.New()
	a := startAnnouncer(t, s, 1)
	waitLine(t, s, "first line", func(_ table.HostInfo, ok bool) bool { return ok })
	const late = 300 * time.Millisecond
	s.SetFaults(store.Faults{LoseReplies: 1, LateMillis: int(late.Milliseconds())})
	a.Announce(endpoints("old"))
	time.Sleep(gather + 50*time.Millisecond)
	a.Announce(endpoints("new"))
	waitLine(t, s, "newer endpoint", shows("new"))
	time.Sleep(late)
	if h, ok := line(t, s); !shows("new")(h, ok) {
		t.Errorf("after the late write: got %+v, want the newer endpoint", h.Endpoints)
	}
}

// TestOutageAndOthers checks that a line is written after an outage, and again when another node has taken it out.
func TestOutageAndOthers(t *testing.T) {
	s := store.New()
	s.SetFaults(store.Faults{Down: true})
	a := startAnnouncer(t, s, 1)
	a.Announce(endpoints("i1"))
	time.Sleep(50 * time.Millisecond)
	s.SetFaults(store.Faults{})
	h := waitLine(t, s, "after the outage", shows("i1"))

	log := zerolog.Nop()
	hosts := []table.HostInfo{h, {ID: "h2", Address: "127.0.0.1:2"}}
	snap := &configsync.Snapshot{State: table.NewState(), Hosts: hosts}
	gone := unreachable{"127.0.0.1:1": time.Now().Add(-time.Minute)}
	r := NewReaper("h2", time.Second, time.Second, &log, store.NewLocal(s), gone, func() *configsync.Snapshot { return snap })
	if got := r.gone(time.Now(), hosts); len(got) != 1 || got[0].ID != h.ID {
		t.Fatalf("hosts for h2 to take out: got %v, want %s", got, h.ID)
	}
	r.take(t.Context(), h)
	if _, ok := line(t, s); ok {
		t.Fatal("got a line of a host that is gone, want none")
	}
	state := table.NewState().WithEndpoints(h.Version+1, nil)
	a.Observe(&configsync.Snapshot{State: state})
	waitLine(t, s, "written again", shows("i1"))
	a.Withdraw()
	waitLine(t, s, "withdrawn", func(_ table.HostInfo, ok bool) bool { return !ok })
}

type unreachable map[string]time.Time

func (u unreachable) UnreachableSince(address string) time.Time { return u[address] }

func (u unreachable) LinkHealthy(address string) bool { return u[address].IsZero() }

func (unreachable) KeepOpen(string) {}

// TestReaperDoubtsItself checks that a node which has lost most of the others takes none of them out.
func TestReaperDoubtsItself(t *testing.T) {
	log := zerolog.Nop()
	long := time.Now().Add(-time.Minute)
	hosts := []table.HostInfo{{ID: "h1", Address: "1"}, {ID: "h2", Address: "2"}, {ID: "h3", Address: "3"}}
	r := NewReaper("h1", time.Second, time.Second, &log, nil, unreachable{"2": long, "3": long}, nil)
	if got := r.gone(time.Now(), hosts); len(got) != 0 {
		t.Errorf("taken out: got %v, want none", got)
	}
}
