package announce

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// TestFoundAnnouncementIsNotOverwrittenUnread guards against a restarted node that overwrites what its previous process has
// stored, a leaving that was acknowledged, before it has taken that in: because it has not seen it, or because a peer has
// passed on another announcement under the same version.
func TestFoundAnnouncementIsNotOverwrittenUnread(t *testing.T) {
	t.Run("not seen", func(t *testing.T) { restartUnread(t, false) })
	t.Run("seen from a peer", func(t *testing.T) { restartUnread(t, true) })
}

// restartUnread restarts a node that has not read the store. fromPeer: a peer passes on an announcement without endpoints, as
// the new process itself had published it, under the version of the stored one.
func restartUnread(t *testing.T, fromPeer bool) {
	t.Helper()
	s := store.New()
	previous := startAnnouncer(t, s, 7)
	left := table.Announced{Key: "i1", Value: table.Endpoint{Phase: table.Draining}}
	previous.Announce([]table.Announced{left}, table.PastIncarnations{Ended: []string{"i0"}})
	stored := waitForAnnouncement(t, s, "previous process", hasEndpoint("i1"))
	_ = previous.Stop(context.Background())

	log := zerolog.Nop()
	var a *Announcer
	var records []table.HostInfo
	a = New(Config{
		Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: 8},
		RetryInterval: 5 * time.Millisecond, Timeout: time.Second,
	}, &log, store.NewLocal(s), WithRecordHook(func(record table.HostInfo, complete bool) {
		if !complete {
			return
		}
		records = append(records, record)
		a.Announce(append(endpoints("i2"), record.Endpoints...), record.PastIncarnations)
	}))
	a.Announce(endpoints("i2"), table.PastIncarnations{})
	if fromPeer {
		passedOn := table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: 8, Version: stored.Version}
		a.Observe(&configsync.Snapshot{State: table.NewState(), StoredAnnouncement: passedOn, Ready: true})
	}
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Stop(context.Background()) })
	h := waitForAnnouncement(t, s, "both endpoints", func(h table.HostInfo, ok bool) bool { return ok && len(h.Endpoints) == 2 })
	if got, want := h.Endpoints[1], left; got != want {
		t.Errorf("endpoint of the previous process: got %+v, want %+v", got, want)
	}
	if got, want := h.Ended, []string{"i0"}; !slices.Equal(got, want) {
		t.Errorf("ended: got %v, want %v", got, want)
	}
	if got, want := h.Incarnation, uint64(7); got != want {
		t.Errorf("incarnation: got %d, want that of the previous process, %d", got, want)
	}
	if got, want := len(records), 1; got != want {
		t.Errorf("records passed on: got %d, want %d", got, want)
	}
}

// TestAwaitStored guards against an acknowledgement of what the store does not hold yet.
func TestAwaitStored(t *testing.T) {
	await := func(a *Announcer, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		return a.AwaitStored(ctx)
	}
	s := store.New()
	a := startAnnouncer(t, s, 1)
	a.Announce(endpoints("i1"), table.PastIncarnations{})
	if err := await(a, waitLimit); err != nil {
		t.Fatalf("first announcement: got %v, want none", err)
	}
	for _, faults := range []store.Faults{{Down: true}, {DelayMillis: 2000}, {LoseReplies: 1000, LateMillis: 60000}} {
		s.SetFaults(faults)
		a.Announce(endpoints("i2"), table.PastIncarnations{})
		if err := await(a, 100*time.Millisecond); fault.CodeOf(err) != fault.Unavailable {
			t.Errorf("store with %+v: got %v, want unavailable", faults, err)
		}
		s.SetFaults(store.Faults{})
		if err := await(a, waitLimit); err != nil {
			t.Errorf("store is back: got %v, want none", err)
		}
		if h, ok := storedAnnouncement(t, s); !hasEndpoint("i2")(h, ok) {
			t.Errorf("stored: got %+v, want i2", h.Endpoints)
		}
		a.Announce(endpoints("i1"), table.PastIncarnations{})
		if err := await(a, waitLimit); err != nil {
			t.Errorf("next announcement: got %v, want none", err)
		}
	}
	a.Withdraw()
	if err := await(a, 100*time.Millisecond); fault.CodeOf(err) != fault.Unavailable {
		t.Errorf("withdrawn: got %v, want unavailable", err)
	}
}
