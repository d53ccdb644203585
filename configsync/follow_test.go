package configsync

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

func startFollower(t *testing.T, s *store.Store) *Follower {
	t.Helper()
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	f := New(Config{
		Host: "h1", Hall: "hall-1", RetryInterval: 5 * time.Millisecond, LongPollTimeout: 200 * time.Millisecond, Readers: 2,
		Timeout: time.Second, WithConfig: true,
	}, &log, store.NewLocal(s), links)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	return f
}

// configure writes a configuration as the platform's operators do; its text is part of the platform package's test
// data.
func configure(t *testing.T, s *store.Store, version string, routes ...string) {
	t.Helper()
	var rules []string
	for _, r := range routes {
		rules = append(rules, strings.ReplaceAll(platformText(t, "rule.json"), "NAME", r))
	}
	text := strings.NewReplacer("VERSION", version, "RULES", strings.Join(rules, ",")).Replace(platformText(t, "config.json"))
	s.SetOperatorRow(platform.TableOperators, platform.KeyConfig, []byte(text))
}

func platformText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../platform/testdata/follow", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func wait(t *testing.T, f *Follower, description string, condition func(s *Snapshot) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition(f.Snapshot()) {
			return
		}
	}
	t.Fatalf("%s: got revisions %v, ready %v", description, f.State().Revisions(), f.Snapshot().Ready)
}

func routed(path string, want bool) func(s *Snapshot) bool {
	return func(s *Snapshot) bool {
		_, ok := s.State.Match("x", path)
		return ok == want
	}
}

func announceHost(t *testing.T, s *store.Store, id string, removed bool) {
	t.Helper()
	write := announcementOf(t, table.HostInfo{ID: id, Hall: "hall-1", Address: "127.0.0.1:1"})
	write.Delete = removed
	commit(t, s, write)
}

// announce stores a host's announcement.
func announce(t *testing.T, s *store.Store, h table.HostInfo) {
	t.Helper()
	commit(t, s, announcementOf(t, h))
}

func announcementOf(t *testing.T, h table.HostInfo) platform.Write {
	t.Helper()
	value, err := json.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Write{Key: HostPrefix + h.ID, Value: value}
}

func commit(t *testing.T, s *store.Store, write platform.Write) {
	t.Helper()
	if _, err := store.NewLocal(s).Commit(t.Context(), platform.Txn{Writes: []platform.Write{write}}); err != nil {
		t.Fatal(err)
	}
}

// TestConfigurationIsFollowed changes the configuration in the store under conditions that disturb readers: no
// configuration yet, outages, a dropped history, a configuration that cannot be decoded. The active configuration never
// goes back.
func TestConfigurationIsFollowed(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	time.Sleep(20 * time.Millisecond)
	if got, want := f.Snapshot().Ready, false; got != want {
		t.Errorf("ready without a configuration: got %v, want %v", got, want)
	}
	configure(t, s, "7", "a")
	wait(t, f, "first", func(s *Snapshot) bool { return s.Ready && routed("/a/", true)(s) })

	s.SetFaults(store.Faults{Down: true})
	configure(t, s, "9", "b")
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(store.Faults{})
	wait(t, f, "after an outage", func(s *Snapshot) bool { return routed("/b/", true)(s) && routed("/a/", false)(s) })

	s.SetFaults(store.Faults{Down: true})
	configure(t, s, "12", "c")
	s.SetFaults(store.Faults{ForgetHistory: true})
	wait(t, f, "after the history was dropped", routed("/c/", true))

	configure(t, s, "11", "d")
	s.SetOperatorRow(platform.TableOperators, platform.KeyConfig, []byte(`{"version":13,"listeners":[{"host":"x"`))
	configure(t, s, "14", "c", "e")
	wait(t, f, "after one that cannot be decoded", routed("/e/", true))
	if got, want := routed("/c/", true)(f.Snapshot()), true; got != want {
		t.Errorf("kept route: got %v, want %v", got, want)
	}
}

// TestHostsAreFollowed checks that hosts are added and removed, also while the store is down and its history is
// dropped.
func TestHostsAreFollowed(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	announceHost(t, s, "h2", false)
	wait(t, f, "announced", func(s *Snapshot) bool { return len(s.Hosts) == 1 })
	s.SetFaults(store.Faults{Down: true})
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(store.Faults{})
	announceHost(t, s, "h2", true)
	announceHost(t, s, "h3", false)
	s.SetFaults(store.Faults{ForgetHistory: true})
	wait(t, f, "removed while the history was dropped", func(s *Snapshot) bool {
		return len(s.Hosts) == 1 && s.Hosts[0].ID == "h3"
	})
}

// TestConfirm checks that Confirm activates what the store holds now, and that without an answer nothing is confirmed.
func TestConfirm(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	wait(t, f, "first", routed("/a/", true))
	configure(t, s, "8", "b")
	if got, want := f.Confirm(t.Context()), true; got != want {
		t.Errorf("confirmed: got %v, want %v", got, want)
	}
	if got, want := routed("/b/", true)(f.Snapshot()), true; got != want {
		t.Errorf("newer route active: got %v, want %v", got, want)
	}
	s.SetFaults(store.Faults{Down: true})
	if got, want := f.Confirm(t.Context()), false; got != want {
		t.Errorf("confirmed without the store: got %v, want %v", got, want)
	}
}

// recordingFeeds records the versions after which the operators' table is queried without waiting.
type recordingFeeds struct {
	Platform
	after []uint64
}

func (p *recordingFeeds) Feed(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Records, error) {
	if name == platform.TableOperators && wait == 0 {
		p.after = append(p.after, after)
	}
	return p.Platform.Feed(ctx, name, after, wait)
}

// TestConfirmReadsEachConfigurationOnce has a node that does not read the configuration itself confirm it twice after a
// change: the second query asks only for newer changes.
func TestConfirmReadsEachConfigurationOnce(t *testing.T) {
	s := store.New()
	feeds := &recordingFeeds{Platform: store.NewLocal(s)}
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	f := New(Config{Host: "h1", Hall: "hall-1", Timeout: time.Second, WithConfig: true}, &log, feeds, links)
	s.SetOperatorRow(platform.TableOperators, "other", []byte("{}"))
	for range 2 {
		if got, want := f.Confirm(t.Context()), true; got != want {
			t.Errorf("confirmed: got %v, want %v", got, want)
		}
	}
	if got, want := len(feeds.after), 2; got != want {
		t.Fatalf("queries: got %d, want %d", got, want)
	}
	if feeds.after[0] != 0 || feeds.after[1] == 0 {
		t.Errorf("asked from versions: got %v, want 0 and a later one", feeds.after)
	}
}

// TestConfirmWaitsForActivation checks that a configuration which was read but is not active yet is not confirmed: the
// store has nothing newer to return at that point.
func TestConfirmWaitsForActivation(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	wait(t, f, "first", routed("/a/", true))
	f.recordConfigRead(8)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if got, want := f.Confirm(ctx), false; got != want {
		t.Errorf("confirmed: got %v, want %v", got, want)
	}
}

// TestDeltasLeadToSameState checks that the deltas sent by a peer lead another node to the same state, from the empty
// state and from an older one.
func TestDeltasLeadToSameState(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a", "b")
	announceHost(t, s, "h2", false)
	wait(t, f, "first", func(s *Snapshot) bool { return routed("/a/", true)(s) && len(s.Hosts) == 1 })
	first := f.Snapshot()
	configure(t, s, "8", "b")
	wait(t, f, "second", routed("/a/", false))
	for name, from := range map[string]*table.State{"nothing": table.NewState(), "behind": first.State} {
		state := from
		deltas, changes := deltasFromParts(Deltas(f.Snapshot(), from.Revisions(), false))
		for _, d := range deltas {
			next, err := state.With(d)
			if err != nil {
				t.Fatalf("from %s: %v", name, err)
			}
			state = next
		}
		if _, ok := state.Match("x", "/a/"); ok {
			t.Errorf("from %s: got the removed route, want none", name)
		}
		if _, ok := state.Match("x", "/b/"); !ok {
			t.Errorf("from %s: got no kept route, want one", name)
		}
		if name == "nothing" && (changes == nil || len(changes.hosts) != 1 || changes.revision == 0) {
			t.Errorf("from nothing: got hosts %v, want one", changes)
		}
	}
}

// TestFreshNodeSendsRemovedRoutes checks that a node which has only ever seen the newest configuration does not leave a
// route that was removed since on a peer that is behind.
func TestFreshNodeSendsRemovedRoutes(t *testing.T) {
	s := store.New()
	configure(t, s, "4", "a", "b")
	old := startFollower(t, s)
	wait(t, old, "older", routed("/a/", true))
	behind := old.State()
	configure(t, s, "7", "b")
	fresh := startFollower(t, s)
	wait(t, fresh, "newer", routed("/b/", true))
	deltas, _ := deltasFromParts(Deltas(fresh.Snapshot(), behind.Revisions(), true))
	state := behind
	for _, d := range deltas {
		next, err := state.With(d)
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	if got, want := state.Revisions()[table.SourceConfig], uint64(7); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	if r, ok := state.Match("x", "/a/"); ok {
		t.Errorf("removed route: got %s, want none", r.Key)
	}
}

// TestStopEndsReads guards against stops that wait for the next turn of a reader: a read that the stop has ended may not tell.
func TestStopEndsReads(t *testing.T) {
	const tries, limit = 10, time.Second
	s := store.New()
	configure(t, s, "7", "a")
	for try := range tries {
		log := zerolog.Nop()
		links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
		f := New(Config{
			Host: "h1", Hall: "hall-1", RetryInterval: 5 * time.Millisecond, LongPollTimeout: 10 * time.Second, Readers: 1, ConfigReaders: 1,
			Timeout: time.Second, WithConfig: true,
		}, &log, store.NewLocal(s), links)
		if err := f.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		wait(t, f, "ready", func(s *Snapshot) bool { return s.Ready })
		// The reads that follow the first one wait for a change.
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		_ = f.Stop(context.Background())
		if took := time.Since(began); took > limit {
			t.Fatalf("stop %d: got %v, want at most %v", try, took, limit)
		}
	}
}

// TestFeedInParts guards against a change that is missed for good because an answer of the store, which states the newest version, holds
// the first of several changes only: by the readers, and by a query whether the configuration is the newest.
func TestFeedInParts(t *testing.T) {
	for _, confirms := range []bool{false, true} {
		s := store.New()
		f := startFollower(t, s)
		configure(t, s, "1", "first")
		wait(t, f, "first", func(s *Snapshot) bool { return s.Ready && routed("/first/", true)(s) })
		s.SetFaults(store.Faults{Down: true})
		evacuate(s, "a", true)
		configure(t, s, "2", "second")
		evacuate(s, "a", false)
		evacuate(s, "b", true)
		configure(t, s, "3", "third")
		s.SetFaults(store.Faults{FeedRows: 1})
		if confirms && !f.confirm(t.Context()) {
			t.Error("confirmation: got none, want one")
		}
		if _, ok := f.State().Match("x", "/third/"); confirms && !ok {
			t.Error("after a confirmation: got an older configuration, want the newest")
		}
		wait(t, f, "third", func(s *Snapshot) bool { return routed("/third/", true)(s) && evacuated("b")(s) })
	}
}
