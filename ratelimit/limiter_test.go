package ratelimit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// noLinks reaches no peer.
type noLinks struct{}

// Session implements Links.
func (noLinks) Session(context.Context, string) (*peer.Session, error) {
	return nil, fault.New(fault.LinkDown, "", "no peer can be reached")
}

// Usable implements Links.
func (noLinks) Usable(string) bool { return false }

// isolated returns the limiter of host h0, which reaches no peer and is alone in its hall, and a function that shows it
// a snapshot with that many hosts.
func isolated(t testing.TB, policy Policy, limit string) (l *Limiter, show func(hosts int, ready bool)) {
	t.Helper()
	row, err := table.NewRow(table.KindCustomer, "acme", []string{"", limit})
	if err != nil {
		t.Fatal(err)
	}
	state, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: []table.Row{row}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	snap := &configsync.Snapshot{State: state}
	cfg := Config{Host: "h0", Hall: "hall-0", Policy: policy, Settle: time.Hour, Window: time.Minute, Fallback: 6}
	l = New(cfg, &log, func() *configsync.Snapshot { return snap }, noLinks{}, m)
	return l, func(hosts int, ready bool) {
		next := &configsync.Snapshot{State: state, Ready: ready, ByID: make(map[string]table.HostInfo)}
		for i := range hosts {
			h := table.HostInfo{ID: fmt.Sprint("h", i), Hall: fmt.Sprint("hall-", min(i, 1)), Address: "127.0.0.1:1"}
			next.Hosts, next.ByID[h.ID] = append(next.Hosts, h), h
		}
		snap = next
		l.Observe(next)
	}
}

// countPassed sends requests and returns how many of them pass.
func countPassed(t *testing.T, l *Limiter, requests int) (n int) {
	t.Helper()
	for range requests {
		if _, _, ok := l.Take(t.Context(), "acme"); ok {
			n++
		}
	}
	return n
}

// TestFirstHostsNeedNoSettling starts a node in a fleet of three: the first list of hosts after the start is no change
// that has to settle. When it was treated as one, a fleet that had lost power refused nearly all requests of customers
// with limits for two seconds after it was back.
func TestFirstHostsNeedNoSettling(t *testing.T) {
	l, show := isolated(t, PolicyAllotments, "1000000")
	show(1, false)
	if got, want := countPassed(t, l, 1), 0; got != want {
		t.Errorf("passed while the hosts are not known: got %d, want %d", got, want)
	}
	show(3, true)
	time.Sleep(time.Millisecond)
	if got, want := countPassed(t, l, 10), 10; got != want {
		t.Errorf("passed at the start, as one of three owners: got %d, want %d", got, want)
	}
}

// TestNewOwnerWaitsToSettle checks that a customer's new owner grants nothing before the change of the hosts has
// settled.
func TestNewOwnerWaitsToSettle(t *testing.T) {
	l, show := isolated(t, PolicyAllotments, "1000000")
	show(1, true)
	show(2, true)
	if got, want := countPassed(t, l, 10), 0; got != want {
		t.Errorf("passed after a change: got %d, want %d", got, want)
	}
}

// TestIsolatedNodeUsesFallbackShare checks that a node that cannot reach any other owner passes no more than its share
// of the fallback allotment.
func TestIsolatedNodeUsesFallbackShare(t *testing.T) {
	l, show := isolated(t, PolicyAllotments, "0.000001")
	show(6, true)
	if got, want := countPassed(t, l, 10), 1; got > want {
		t.Errorf("passed of 6 for 6 nodes in a window: got %d, want at most %d", got, want)
	}
}
