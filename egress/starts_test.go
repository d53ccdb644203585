package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/maxrate"
	"github.com/lynxplank/lynxplank/table"
)

// startNode returns the egress of a process of the node beside an endpoint that has just started; the peers are still to
// tell of earlier ones.
func startNode(t *testing.T, address string) *Egress {
	t.Helper()
	e := newTestEgress(t, address, table.Active)
	WithPeers()(e)
	return e
}

// TestStartsInSeriesKeepStatedRate guards against an endpoint that gets more than it stated because the node beside it is
// started several times in a row, and each process lets requests through until its first answer.
func TestStartsInSeriesKeepStatedRate(t *testing.T) {
	const starts, requests, allowed = 6, 8, 5
	r := &ratedEndpoint{}
	r.state("0")
	server := httptest.NewServer(r)
	defer server.Close()
	earlier := time.Time{}
	for range starts {
		e := startNode(t, strings.TrimPrefix(server.URL, "http://"))
		if earlier.IsZero() {
			e.NoteEarlierLife(0)
		} else {
			e.NoteEarlierLife(time.Since(earlier))
		}
		earlier = time.Now()
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { serve(t, e, lookupWithin(200*time.Millisecond)) })
		}
		wg.Wait()
	}
	if got := r.arrivals(); got > allowed || got == 0 {
		t.Errorf("arrivals: got %d, want 1 to %d", got, allowed)
	}
}

// TestOlderStatementOpensNothing guards against an endpoint that gets more than it stated because the senders that come first
// after a start of its node know an older, higher rate, and the endpoint takes its time to answer.
func TestOlderStatementOpensNothing(t *testing.T) {
	const senders, allowed = 4, 1
	var begun atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		<-release
		w.Header().Set(header.MaxRate, "0")
	}))
	defer server.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(release)
	e := startNode(t, strings.TrimPrefix(server.URL, "http://"))
	e.NoteEarlierLife(time.Second)
	e.NoteEarlierLife(0)
	rate, age := 40.0, time.Minute.Microseconds()
	for range senders {
		d := lookupWithin(time.Second)
		d.MaxRate, d.StatementAgeMicros = &rate, &age
		wg.Go(func() { serve(t, e, d) })
	}
	time.Sleep(500 * time.Millisecond)
	if got := begun.Load(); got > allowed {
		t.Errorf("requests before the first answer: got %d, want at most %d", got, allowed)
	}
}

// startDelay is more than a start may delay requests, and less than the time between two requests to an endpoint that doesn't
// answer.
const startDelay = 1500 * time.Millisecond

// TestStartDelaysNoEndpoint guards against an endpoint that states no rate and is slowed by a start of its node: requests wait
// for one answer, also if the first request gets none, and for nothing if a sender knows better.
func TestStartDelaysNoEndpoint(t *testing.T) {
	const requests = 3
	for _, c := range []struct {
		name string
		// hangs is how many requests get no answer. With together, requests are only answered once all have begun.
		hangs    int64
		together bool
		// age is how long ago a sender was told that no rate is stated, 0 if none knows.
		age time.Duration
	}{
		{name: "nobody knows"},
		{name: "first request hangs", hangs: 1},
		{name: "a sender knows", together: true, age: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var begun atomic.Int64
			release, all := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				switch n := begun.Add(1); {
				case n <= c.hangs:
					<-release
				case n == requests:
					close(all)
				case c.together:
					<-all
				}
			}))
			defer server.Close()
			e := startNode(t, strings.TrimPrefix(server.URL, "http://"))
			setQueue(t, e, 20)
			e.NoteEarlierLife(0)
			var wg, answered sync.WaitGroup
			defer wg.Wait()
			defer close(release)
			request := func() *peerpb.Dispatch {
				d := lookupWithin(5 * time.Second)
				if c.age > 0 {
					micros := c.age.Microseconds()
					d.StatementAgeMicros = &micros
				}
				return d
			}
			start := time.Now()
			for i := range c.hangs {
				wg.Go(func() { serve(t, e, request()) })
				for begun.Load() <= i {
					time.Sleep(time.Millisecond)
				}
			}
			for range requests {
				answered.Go(func() {
					if got, want := serve(t, e, request()).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
						t.Errorf("got %v, want %v", got, want)
					}
				})
			}
			answered.Wait()
			if got := time.Since(start); got > startDelay {
				t.Errorf("all answered: got after %v, want within %v", got, startDelay)
			}
		})
	}
}

// TestPeersTellOfEarlierStarts checks that a process waits for its peers to tell of earlier ones before it finds out what the
// endpoint states, and that a sender which knows it needs no such wait.
func TestPeersTellOfEarlierStarts(t *testing.T) {
	r := &ratedEndpoint{}
	r.state("")
	server := httptest.NewServer(r)
	defer server.Close()
	e := startNode(t, strings.TrimPrefix(server.URL, "http://"))
	const told = 100 * time.Millisecond
	start := time.Now()
	time.AfterFunc(told, func() { e.NoteEarlierLife(0) })
	if got, want := serve(t, e, lookupWithin(2*time.Second)).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got := time.Since(start); got < told || got > startDelay {
		t.Errorf("answered: got after %v, want %v to %v", got, told, startDelay)
	}
	if e.life == (maxrate.Life{}) {
		t.Error("life: got the zero value, want that of a process with peers")
	}
}

// TestRefusalsBeforeFirstAnswer guards against senders that ask an endpoint over and over which does not answer after a start
// of its node: a refusal says that no slot is free, to a request that may wait that its time is too short.
func TestRefusalsBeforeFirstAnswer(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(release)
	e := startNode(t, strings.TrimPrefix(server.URL, "http://"))
	e.NoteEarlierLife(time.Second)
	started := make(chan struct{})
	wg.Go(func() {
		d := lookupWithin(5 * time.Second)
		d.BudgetMicros = (10 * time.Second).Microseconds()
		close(started)
		serve(t, e, d)
	})
	<-started
	// No news is expected any more.
	time.Sleep(600 * time.Millisecond)
	for _, c := range []struct {
		name string
		wait bool
		want fault.Code
	}{{"may not wait", false, fault.Busy}, {"may wait", true, fault.DeadlineTooShort}} {
		d := lookupWithin(100 * time.Millisecond)
		d.Exchange, d.Wait = 1, c.wait
		end := serve(t, e, d)
		if got, want := end.GetCode(), string(c.want); got != want {
			t.Errorf("%s: got %q, want %q", c.name, got, want)
		}
		if got, want := end.GetLoad().GetBusy(), end.GetLoad().GetSlots(); got < want {
			t.Errorf("%s: busy slots: got %d, want %d", c.name, got, want)
		}
	}
}

// TestRecordOfEarlierLifeIsReadFromStore guards against a process that takes itself for the first of its node because a peer
// passes on what this process has published itself.
func TestRecordOfEarlierLifeIsReadFromStore(t *testing.T) {
	const own, earlier = 7, 3
	for _, c := range []struct {
		name       string
		read       bool
		stored     table.HostInfo
		unrecorded bool
	}{
		{"passed on by a peer", false, table.HostInfo{ID: "h1", Version: 5, Incarnation: own}, false},
		{"stored by an earlier process", true, table.HostInfo{ID: "h1", Version: 5, Incarnation: earlier}, false},
		{"stored by this process", true, table.HostInfo{ID: "h1", Version: 5, Incarnation: own}, true},
		{"nothing is stored", true, table.HostInfo{}, true},
	} {
		e := newTestEgress(t, "127.0.0.1:1", table.Active, func(cfg *Config) { cfg.Incarnation = own })
		WithPeers()(e)
		hosts := []table.HostInfo{{ID: "h1"}, {ID: "h2"}}
		e.Observe(time.Now(), &configsync.Snapshot{State: e.state(), Hosts: hosts, StoredAnnouncement: c.stored, HostsRead: c.read, Ready: true})
		if got, want := e.life == e.life.WithoutRecord(), c.unrecorded; got != want {
			t.Errorf("%s: counts as the first process: got %v, want %v", c.name, got, want)
		}
	}
}
