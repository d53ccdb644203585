package ratelimit

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/quota"
)

// countingLinks counts how often a peer is looked for; it reaches none.
type countingLinks struct {
	noLinks
	asked int
}

// Usable implements Links.
func (c *countingLinks) Usable(string) bool {
	c.asked++
	return false
}

// TestNoOwnerIsAskedAgainAtOnce guards against a refusal that asks the owners each time: those that did not answer are
// asked again after a while.
func TestNoOwnerIsAskedAgainAtOnce(t *testing.T) {
	l, show := isolated(t, PolicyAllotments, "0.000001")
	links := &countingLinks{}
	now := time.Unix(1000, 0)
	l.links, l.now = links, func() time.Time { return now }
	show(12, true)
	countPassed(t, l, 100)
	if got, want := links.asked, quota.OwnersPerCustomer; got > want {
		t.Errorf("owners asked for 100 requests at once: got %d, want at most %d", got, want)
	}
	asked := links.asked
	now = now.Add(time.Second)
	countPassed(t, l, 100)
	if got := links.asked; asked > 0 && got == asked {
		t.Errorf("owners asked again after a second: got none, want some")
	}
}

// TestCachedOwnersAreThoseOfThePlacement guards against owners of an older list of hosts, which would grant nothing or
// grant twice.
func TestCachedOwnersAreThoseOfThePlacement(t *testing.T) {
	for _, policy := range []Policy{PolicyAllotments, PolicyEvenShares} {
		t.Run(string(policy), func(t *testing.T) { checkCachedOwners(t, policy) })
	}
}

func checkCachedOwners(t *testing.T, policy Policy) {
	l, show := isolated(t, policy, "10")
	rapid.Check(t, func(r *rapid.T) {
		show(rapid.IntRange(1, 40).Draw(r, "hosts"), true)
		for range 3 {
			customer := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(r, "customer"))
			l.mu.Lock()
			list := *l.owners(customer)
			got, share := list.names, l.fallbackShare(customer)
			l.mu.Unlock()
			if want := nearestOwners(l, customer); !slices.Equal(got, want) {
				r.Fatalf("owners of %s: got %v, want %v", customer, got, want)
			}
			if want := l.placement.Share(l.cfg.Host, customer, l.cfg.Fallback); share != want {
				r.Fatalf("share of %s: got %d, want %d", customer, share, want)
			}
		}
	})
}

// nearestOwners returns the owners that the placement assigns to a customer, the nearest first.
func nearestOwners(l *Limiter, customer string) (names []string) {
	if l.cfg.Policy == PolicyEvenShares {
		return []string{l.cfg.Host}
	}
	owners := l.placement.Owners(customer)
	for distance := range 3 {
		for _, h := range owners {
			if l.distance(h) == distance {
				names = append(names, h.ID)
			}
		}
	}
	return names
}

// BenchmarkRefusal measures Take for a customer whose owners have nothing to grant.
func BenchmarkRefusal(b *testing.B) {
	for _, hosts := range []int{83, 3500} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			l, show := isolated(b, PolicyAllotments, "0.000001")
			show(hosts, true)
			l.mu.Lock()
			now := l.now()
			for _, h := range l.placement.Owners("acme") {
				l.holder.Add(now, now, "acme", h.ID, quota.Allotment{})
			}
			l.mu.Unlock()
			// The owners stay empty: no time passes.
			l.now = func() time.Time { return now }
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := l.Take(context.Background(), "acme"); ok {
					b.Fatal("a request beyond the limit passed, want none")
				}
			}
		})
	}
}

// BenchmarkCapacity measures the memory that the owners take after requests of 220,000 customers in a fleet of 3,500
// hosts, and the time to find the owners of one customer.
func BenchmarkCapacity(b *testing.B) {
	l, show := isolated(b, PolicyAllotments, "10")
	show(3500, true)
	const customers = 220000
	for b.Loop() {
		l.ownersOf = quota.NewPerCustomer[*ownerList](nil)
		before := heapBytes()
		start := time.Now()
		for i := range customers {
			l.owners(fmt.Sprint("customer-", i))
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/customers, "ns/customer")
		b.ReportMetric(float64(heapBytes()-before)/1000, "kB")
	}
	runtime.KeepAlive(l)
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
