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

// noLinks reach nobody.
type noLinks struct{}

// Session implements Links.
func (noLinks) Session(context.Context, string) (*peer.Session, error) {
	return nil, fault.New(fault.LinkDown, "", "nobody is reached")
}

// Usable implements Links.
func (noLinks) Usable(string) bool { return false }

// lone returns the allowance of host h0 in a hall of its own among so many hosts of others, and how to show it a snapshot.
func lone(t *testing.T, policy Policy, limit string) (a *Limiter, show func(hosts int, ready bool)) {
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
	a = New(cfg, &log, func() *configsync.Snapshot { return snap }, noLinks{}, m)
	return a, func(hosts int, ready bool) {
		next := &configsync.Snapshot{State: state, Ready: ready, ByID: make(map[string]table.HostInfo)}
		for i := range hosts {
			h := table.HostInfo{ID: fmt.Sprint("h", i), Hall: fmt.Sprint("hall-", min(i, 1)), Address: "127.0.0.1:1"}
			next.Hosts, next.ByID[h.ID] = append(next.Hosts, h), h
		}
		snap = next
		a.Observe(next)
	}
}

// passes counts how many of some requests pass.
func passes(t *testing.T, a *Limiter, of int) (n int) {
	t.Helper()
	for range of {
		if _, _, ok := a.Take(t.Context(), "acme"); ok {
			n++
		}
	}
	return n
}

// TestStartIsNoChangeOfHosts starts a node with the whole fleet: the list that it starts with is no change that has to settle. Taken
// for one, a fleet that had lost power refused nearly all requests of customers with limits for two seconds after it was back.
func TestStartIsNoChangeOfHosts(t *testing.T) {
	a, show := lone(t, Lent, "1000000")
	show(1, false)
	if got, want := passes(t, a, 1), 0; got != want {
		t.Errorf("passed while the hosts are not known: got %d, want %d", got, want)
	}
	show(3, true)
	time.Sleep(time.Millisecond)
	if got, want := passes(t, a, 10), 10; got != want {
		t.Errorf("passed at the start, as one of three homes: got %d, want %d", got, want)
	}
}

// TestChangedHomeWaits has a customer's homes change: a new home lends nothing before the change has settled.
func TestChangedHomeWaits(t *testing.T) {
	a, show := lone(t, Lent, "1000000")
	show(1, true)
	show(2, true)
	if got, want := passes(t, a, 10), 0; got != want {
		t.Errorf("passed after a change: got %d, want %d", got, want)
	}
}

// TestCutOffNodePassesItsPartOfTheSpare has a node that is no home and reaches none: it passes its part of the spare and no more.
func TestCutOffNodePassesItsPartOfTheSpare(t *testing.T) {
	a, show := lone(t, Lent, "0.000001")
	show(6, true)
	if got, want := passes(t, a, 10), 1; got > want {
		t.Errorf("passed of 6 for 6 nodes in a window: got %d, want at most %d", got, want)
	}
}
