package demo

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/relay"
)

// hopMark is how the name of a request says which halls its data may pass: those of the halls that are named, by their numbers.
var hopMark = regexp.MustCompile(`hop-([0-9]+)-`)

// hops notes the requests whose bytes were seen on the links to a host, which its peers dial.
type hops struct {
	mu    sync.Mutex
	seen  map[string]bool
	wrong map[string]int
}

// watch looks at what passes a host's link for requests whose data may not be in its hall.
func (h *hops) watch(p *relay.Proxy, host, hall string) {
	p.Tap(func(bytes []byte) {
		for _, m := range hopMark.FindAllSubmatch(bytes, -1) {
			h.mu.Lock()
			h.seen[host] = true
			if allowed := string(m[1]); !strings.Contains(allowed, strings.TrimPrefix(hall, "hall-")) {
				h.wrong[host+" of "+hall+", allowed "+allowed]++
			}
			h.mu.Unlock()
		}
	})
}

// bounds are routes and customers whose data may be in some regions alone; each hall is a region of its own here, but for hall-1 and hall-2,
// which share one.
var bounds = []struct {
	name, prefix, customer string
	// halls are the numbers of the halls where the data may be.
	halls string
}{
	{"route", "/near", "", "12"},
	{"other route", "/far", "", "3"},
	{"customer", "/open", "bound", "34"},
	{"both", "/near-or-far", "bound", "3"},
	{"free", "/open", "", "1234"},
}

// startBound starts a fleet of eight nodes in four halls with these routes and customers.
func startBound(t *testing.T, h *hops) (*Fleet, map[string]*relay.Proxy) {
	t.Helper()
	f, err := NewFleet(binaries, t.TempDir(), 8, 4, "")
	check(t, err)
	t.Cleanup(f.Close)
	proxies := make(map[string]*relay.Proxy)
	for _, m := range f.Members {
		p, err := relay.New(m.Peers)
		check(t, err)
		t.Cleanup(p.Close)
		h.watch(p, m.Host, m.Hall)
		proxies[m.Host] = p
	}
	f.PeerAddress = func(m *Member) string { return proxies[m.Host].Address() }
	check(t, f.Start(service, backend.Behaviour{WorkMillis: 10}, "floor: 50%, false_ejections: 1"))
	for _, args := range [][]string{
		{"set", "hall", "hall-1", "region=near"},
		{"set", "hall", "hall-2", "region=near"},
		{"set", "hall", "hall-3", "region=far"},
		{"set", "hall", "hall-4", "region=beyond"},
		{"set", "customer", "bound", "regions=far,beyond"},
		{"set", "route", "near", "prefix=/near", "service=" + service, "regions=near"},
		{"set", "route", "far", "prefix=/far", "service=" + service, "regions=far"},
		{"set", "route", "near-or-far", "prefix=/near-or-far", "service=" + service, "regions=near,far"},
	} {
		_, err := f.Ctl(args...)
		check(t, err)
	}
	check(t, f.WaitRevision(9))
	return f, proxies
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestDataStaysInItsRegions sends requests of all kinds, of routes and customers whose data may be in some regions alone, through every node
// while halls are evacuated, nodes killed, frozen and cut off one way: no host elsewhere is passed by a byte of them, but those of the region
// from which the caller came, no endpoint elsewhere begins one, and whom no endpoint there can serve is told so as not run.
func TestDataStaysInItsRegions(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			h := &hops{seen: make(map[string]bool), wrong: make(map[string]int)}
			f, proxies := startBound(t, h)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			results := make(map[string][]Result)
			var mu sync.Mutex
			for i, b := range bounds {
				for _, m := range f.Members {
					l := NewLoad([]string{m.Callers})
					l.Prefix, l.Customer, l.Mark = b.prefix, b.customer, "hop-"+passes(b.halls, m.Hall)+"-"+b.name+"-"+m.Host+"-"
					l.Deadline = "1s"
					wg.Go(func() {
						for n := 100 * i; ; n += 3 {
							select {
							case <-stop:
								return
							case <-time.After(50 * time.Millisecond):
							}
							var rs []Result
							for kind := Lookup; kind < kinds; kind++ {
								rs = append(rs, l.Send(kind, n, 1)...)
							}
							mu.Lock()
							results[b.name] = append(results[b.name], rs...)
							mu.Unlock()
						}
					})
				}
			}
			for range 8 {
				disturb(t, f, proxies, random)
			}
			close(stop)
			wg.Wait()
			if len(h.wrong) > 0 {
				t.Errorf("data elsewhere: got %v, want none", h.wrong)
			}
			if got, least := len(h.seen), len(f.Members)/2; got < least {
				t.Errorf("hosts with data on their links: got %d, want at least %d", got, least)
			}
			for _, b := range bounds {
				checkServed(t, b.name, results[b.name])
				checkEndpoints(t, f, b.name, b.halls)
			}
		})
	}
}

// passes are the halls that the data of a caller in a hall may pass: where it may be, and the caller's region.
func passes(halls, from string) string {
	if from == "hall-1" || from == "hall-2" {
		return halls + "12"
	}
	return halls + strings.TrimPrefix(from, "hall-")
}

// disturb does something to the fleet for a moment.
func disturb(t *testing.T, f *Fleet, proxies map[string]*relay.Proxy, random *rand.Rand) {
	t.Helper()
	m := f.Members[random.IntN(len(f.Members))]
	hall := fmt.Sprintf("hall-%d", 1+random.IntN(4))
	const moment = 600 * time.Millisecond
	switch random.IntN(5) {
	case 0:
		_, err := f.Ctl("evacuate", hall)
		check(t, err)
		time.Sleep(moment)
		_, err = f.Ctl("return", hall)
		check(t, err)
	case 1:
		check(t, m.KillNode())
		time.Sleep(moment)
		check(t, f.StartNode(m))
	case 2:
		check(t, m.Pause(true))
		time.Sleep(moment)
		check(t, m.Pause(false))
	case 3:
		way := relay.Direction(random.IntN(int(relay.Directions)))
		proxies[m.Host].Hold(way, true)
		time.Sleep(moment)
		proxies[m.Host].Hold(way, false)
	case 4:
		proxies[m.Host].Reset()
	}
	time.Sleep(moment / 2)
}

// checkServed wants most requests served.
func checkServed(t *testing.T, name string, results []Result) {
	t.Helper()
	ran := 0
	for _, r := range results {
		if r.Told == "ran" {
			ran++
		}
	}
	if got, least := ran, len(results)/2; got < least || ran == 0 {
		t.Errorf("%s: got %d of %d served, want at least half", name, got, len(results))
	}
}

// checkEndpoints wants requests to have begun at endpoints of some halls alone.
func checkEndpoints(t *testing.T, f *Fleet, name, halls string) {
	t.Helper()
	for _, m := range f.Members {
		runs, err := m.Runs()
		check(t, err)
		in := strings.Contains(halls, strings.TrimPrefix(m.Hall, "hall-"))
		begun := 0
		for call := range runs {
			if strings.HasPrefix(call, "hop-") && slices.Contains(strings.Split(call, "-"), name) {
				begun++
			}
		}
		if !in && begun > 0 {
			t.Errorf("%s: got %d begun at %s in %s, want none", name, begun, m.Host, m.Hall)
		}
	}
}
