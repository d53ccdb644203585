package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// hall is some keepers on one store, each of which hears the others' words, but for those that are deaf.
type hall struct {
	store *store.Store
	mu    sync.Mutex
	all   []*Tracker
	deaf  map[*Tracker]bool
	// words counts what was told.
	words int
}

// ear is one keeper's links.
type ear struct {
	h    *hall
	self **Tracker
}

// TellEnded implements Links.
func (e ear) SendPoisonReport(word *peerpb.Ended, most int) {
	e.h.mu.Lock()
	defer e.h.mu.Unlock()
	e.h.words++
	for i, k := range e.h.all {
		if k != *e.self && !e.h.deaf[k] && (most < 0 || i < most) {
			go k.HandleReport(word)
		}
	}
}

func newHall(t *testing.T, keepers int) *hall {
	t.Helper()
	h := &hall{store: store.New(), deaf: make(map[*Tracker]bool)}
	log := zerolog.Nop()
	snap := &configsync.Snapshot{State: table.NewState()}
	for i := range keepers {
		host := fmt.Sprint("h", i)
		snap.Hosts = append(snap.Hosts, table.HostInfo{ID: host})
		var k *Tracker
		cfg := Config{Host: host, RetryInterval: 10 * time.Millisecond, MaxRetryInterval: 50 * time.Millisecond, Timeout: time.Second}
		k = New(cfg, &log, store.NewLocal(h.store), ear{h, &k}, func() *configsync.Snapshot { return snap })
		h.all = append(h.all, k)
		if err := k.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = k.Stop(context.Background()) })
	}
	return h
}

// rows reads what the store holds.
func (h *hall) rows(t *testing.T) []platform.Record {
	t.Helper()
	recs, err := store.NewLocal(h.store).Scan(t.Context(), poison.KeyPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	return recs.Records
}

// show brings what the store holds to a keeper, as a snapshot in force does.
func (h *hall) show(t *testing.T, k *Tracker) {
	t.Helper()
	d := table.Delta{Source: table.SourcePoison, Full: true, To: uint64(time.Now().UnixNano())}
	for _, rec := range h.rows(t) {
		row, err := poison.RowOf(rec)
		if err != nil {
			t.Fatal(err)
		}
		d.Rows = append(d.Rows, row)
	}
	state, err := table.NewState().With(d)
	if err != nil {
		t.Fatal(err)
	}
	k.Observe(&configsync.Snapshot{State: state})
}

// eventually waits until good comes true.
func eventually(t *testing.T, what string, good func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !good(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: got nothing within 10 s", what)
		}
	}
}

// endsIn waits until the store's one row names so many ends.
func (h *hall) endsIn(t *testing.T, want int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d ends in the store", want), func() bool {
		recs := h.rows(t)
		if len(recs) != 1 {
			return false
		}
		f, err := poison.Decode(recs[0])
		return err == nil && len(f.Ends.List()) == want
	})
}

var deadly = poison.FingerprintOf("", "GET", "", "/deadly", nil)

// TestEndsAddUp has the endpoints beside three nodes end under one content, two of them at the same moment: each node knows of all by
// word, the store keeps all, and a node that starts anew knows it from there.
func TestEndsAddUp(t *testing.T) {
	h := newHall(t, 4)
	h.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	for _, k := range h.all {
		eventually(t, "word of one end", func() bool { return k.Ends(deadly) == 1 })
	}
	go h.all[1].EndedHere("e1", "docket-desk", []poison.Fingerprint{deadly})
	h.all[2].EndedHere("e2", "docket-desk", []poison.Fingerprint{deadly})
	for _, k := range h.all {
		eventually(t, "word of three ends", func() bool { return k.Barred(deadly) })
	}
	h.endsIn(t, 3)
	anew := newHall(t, 1)
	anew.store = h.store
	anew.show(t, anew.all[0])
	if got, want := anew.all[0].Barred(deadly), true; got != want {
		t.Errorf("barred at a node that starts anew: got %v, want %v", got, want)
	}
}

// TestWordsEnd has more endpoints end under one content than a row names. Once it is barred nothing more is news: each word went from hand
// to hand without end.
func TestWordsEnd(t *testing.T) {
	h := newHall(t, 5)
	for i := range 40 {
		h.all[i%5].EndedHere(fmt.Sprint("e", i), "docket-desk", []poison.Fingerprint{deadly})
	}
	eventually(t, "barred everywhere", func() bool {
		for _, k := range h.all {
			if !k.Barred(deadly) {
				return false
			}
		}
		return true
	})
	quiet := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.words
	}
	last := -1
	eventually(t, "words to end", func() bool {
		now := quiet()
		same := now == last
		last = now
		time.Sleep(20 * time.Millisecond)
		return same
	})
	if got, most := last, 40*5; got > most {
		t.Errorf("words: got %d, want at most %d", got, most)
	}
}

// TestPlatformAway has an endpoint end while the store says nothing: what is known goes from node to node, and is written once the store is
// back, though its answer is lost then.
func TestPlatformAway(t *testing.T) {
	h := newHall(t, 2)
	h.store.SetFaults(store.Faults{Down: true})
	h.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	eventually(t, "word", func() bool { return h.all[1].Ends(deadly) == 1 })
	h.store.SetFaults(store.Faults{LoseReplies: 2})
	h.endsIn(t, 1)
}

// TestWriterIsGone has the node that saw an end gone before it has written: another writes what it heard.
func TestWriterIsGone(t *testing.T) {
	h := newHall(t, 3)
	h.store.SetFaults(store.Faults{Down: true})
	h.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	eventually(t, "word", func() bool { return h.all[1].Ends(deadly) == 1 && h.all[2].Ends(deadly) == 1 })
	if err := h.all[0].Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.store.SetFaults(store.Faults{})
	h.endsIn(t, 1)
}

// TestWhatRanWellIsCleared has a content run well at one node after an endpoint ended under it at another, and one that ran well just
// before: neither is held against it, nowhere.
func TestWhatRanWellIsCleared(t *testing.T) {
	h := newHall(t, 3)
	h.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	h.endsIn(t, 1)
	for _, k := range h.all {
		h.show(t, k)
	}
	h.all[1].Ran(deadly)
	for _, k := range h.all {
		eventually(t, "cleared", func() bool { return k.Ends(deadly) == 0 })
	}
	eventually(t, "row taken out", func() bool { return len(h.rows(t)) == 0 })

	popular := poison.FingerprintOf("", "GET", "", "/popular", nil)
	h.all[2].Ran(popular)
	for i := range 3 {
		h.all[i%2].EndedHere(fmt.Sprint("e", i), "docket-desk", []poison.Fingerprint{popular})
	}
	for _, k := range h.all {
		eventually(t, "cleared by who saw it run", func() bool { return k.Ends(popular) == 0 })
	}
}

// TestLiftedIsLifted has an operator take the row out: late words of the same ends change nothing, new ends count.
func TestLiftedIsLifted(t *testing.T) {
	h := newHall(t, 2)
	words := []*peerpb.Ended{
		{End: "a@1", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 1},
		{End: "b@2", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 2},
		{End: "c@3", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 3},
	}
	k := h.all[0]
	for _, w := range words {
		k.HandleReport(w)
	}
	h.endsIn(t, 3)
	h.show(t, k)
	key := poison.KeyOf(deadly)
	if _, err := store.NewLocal(h.store).Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key, Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	h.show(t, k)
	if got, want := k.Ends(deadly), 0; got != want {
		t.Errorf("ends after it was lifted: got %d, want %d", got, want)
	}
	for _, w := range words {
		k.HandleReport(w)
	}
	if got, want := k.Ends(deadly), 0; got != want {
		t.Errorf("ends after late words: got %d, want %d", got, want)
	}
	k.EndedHere("e9", "docket-desk", []poison.Fingerprint{deadly})
	if got, want := k.Ends(deadly), 1; got != want {
		t.Errorf("ends after a new one: got %d, want %d", got, want)
	}
}

// TestBadWords checks that words that make no sense change nothing.
func TestBadWords(t *testing.T) {
	h := newHall(t, 1)
	k := h.all[0]
	many := make([][]byte, mostContents+1)
	for i := range many {
		many[i] = deadly[:]
	}
	for _, w := range []*peerpb.Ended{
		{},
		{End: "a@1", Contents: [][]byte{deadly[:]}},
		{Service: "s", Contents: [][]byte{deadly[:]}},
		{End: "a@1", Service: "s", Contents: [][]byte{{1, 2, 3}}},
		{End: "a@1", Service: "s", Contents: many},
	} {
		k.HandleReport(w)
		if got, want := k.Ends(deadly), 0; got != want {
			t.Errorf("ends after %v: got %d, want %d", w, got, want)
		}
	}
}
