package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// mostEnded bounds the instances remembered after their end, whose late heartbeats must change nothing.
	mostEnded = 256
	// mostSlots is the largest number of slots that is believed.
	mostSlots = 10000
)

// Beat is one heartbeat of an endpoint.
type Heartbeat struct {
	// Instance is the endpoint's own name.
	Instance string
	// Born is when its life began, in milliseconds since 1970; 0 if it does not say.
	Born int64
	// Service is the key of the service's row.
	Service string
	// Address is the endpoint's IP and port.
	Address string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set when it takes nothing new.
	Draining bool
	// Cold is how much longer it is slow from its start.
	Cold time.Duration
	// Sequence rises with each call of a life.
	Sequence uint64
}

// Key names the endpoint's life.
func (b Heartbeat) Key() string { return Key(b.Instance, b.Born) }

// Endpoint is one endpoint beside this node.
type Endpoint struct {
	// Entry is its row.
	table.Entry[table.Endpoint]
	// Leaving is set for good once it has said that it drains or leaves.
	Draining bool
	// ToldAt is when it last said how long it is cold, the zero time if it never did, and ColdUntil until when that is, both by
	// clock.Boot.
	ReportedAt, ColdUntil time.Time
	// sequence is the highest that was heard.
	sequence uint64
}

// Registry is safe for concurrent use.
type Registry struct {
	host, hall string
	log        *zerolog.Logger
	clock      clock.Clock
	onChange   func([]table.Announced)

	mu sync.Mutex
	// live are the instances at their addresses, leaving ones included; ended are the last ones that were replaced there or
	// left before they had begun here, oldest first.
	live  map[string]Endpoint
	ended []string
	// left are the endpoints that said that they leave before this process had met them, without their birth, by their names, with
	// when that was in milliseconds since 1970.
	left map[string]int64
}

// New returns an empty registry of a host; onChange is called with every endpoint after each change, and must not block.
func New(host, hall string, log *zerolog.Logger, onChange func([]table.Announced)) *Registry {
	return &Registry{
		host: host, hall: hall, log: log, clock: clock.Boot, onChange: onChange, live: make(map[string]Endpoint), left: make(map[string]int64),
	}
}

// Beat takes a heartbeat, BadRequest for one that makes no sense. Once it returns, a draining endpoint gets nothing new.
//
// Invariant: a life that was ever draining or leaving never takes new work again, and none that another has followed, under its name
// or at its address, comes back, whatever comes later.
func (r *Registry) Beat(b Heartbeat) error {
	if err := b.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.past(b) {
		return nil
	}
	key, now := b.Key(), r.clock()
	old, known := r.live[key]
	if known && b.Sequence <= old.sequence {
		// An old heartbeat that says it drains is believed in that alone: draining is for good.
		if b.Draining {
			r.drain(old)
		}
		return nil
	}
	next := Endpoint{
		Entry: table.Entry[table.Endpoint]{Key: key, Value: table.Endpoint{
			Service: b.Service, Host: r.host, Hall: r.hall, Address: b.Address,
			Slots: table.Count(b.Slots), Weight: 1, //nolint:gosec // checked
		}},
		Draining: old.Draining || b.Draining, ReportedAt: now, ColdUntil: now.Add(b.Cold), sequence: max(old.sequence, b.Sequence),
	}
	if next.Draining {
		next.Value.Phase = table.Draining
	}
	r.replaceOthers(next)
	r.live[key] = next
	if !known || old.Value != next.Value {
		r.changed(next)
	}
	return nil
}

// past tells whether a heartbeat is of a life that has ended, or that another has followed; the lock is held.
func (r *Registry) past(b Heartbeat) bool {
	if slices.Contains(r.ended, b.Key()) {
		return true
	}
	if at, ok := r.left[b.Instance]; ok && b.Born <= at {
		return true
	}
	for key, e := range r.live {
		name, born := Instance(key)
		if born > b.Born && (name == b.Instance || e.Value.Address == b.Address) {
			return true
		}
	}
	return false
}

// Restore takes back an endpoint that an earlier life of the node knew and that has just said that it is still the same
// and not leaving, and how long it is cold; one that has spoken to this life goes by its own word.
func (r *Registry) Restore(a table.Announced, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.live) > 0 || slices.Contains(r.ended, a.Key) || a.Value.Phase != table.Active {
		return
	}
	now := r.clock()
	e := Endpoint{Entry: table.Entry[table.Endpoint]{Key: a.Key, Value: a.Value}, ReportedAt: now, ColdUntil: now.Add(cold)}
	r.live[a.Key] = e
	r.changed(e)
}

// Check refuses a heartbeat that makes no sense.
func (b Heartbeat) Check() error {
	switch {
	case b.Instance == "" || strings.ContainsAny(b.Instance, " \t\r\n/"):
		return fault.New(fault.BadRequest, "heartbeat", "want the instance")
	case b.Service == "":
		return fault.New(fault.BadRequest, "heartbeat.service", "want a service")
	case b.Born < 0:
		return fault.New(fault.BadRequest, "heartbeat.born", "want milliseconds since 1970")
	case b.Slots <= 0 || b.Slots > mostSlots:
		return fault.New(fault.BadRequest, "heartbeat.slots", fmt.Sprintf("want 1 to %d slots", mostSlots))
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		return fault.New(fault.BadRequest, "heartbeat.address", "want an IP and port")
	}
	return nil
}

// replaceOthers ends the lives that were at the same address or under the same name before.
func (r *Registry) replaceOthers(next Endpoint) {
	name, _ := Instance(next.Key)
	for key, e := range r.live {
		other, _ := Instance(key)
		if key != next.Key && (other == name || e.Value.Address == next.Value.Address) {
			r.end(key)
		}
	}
}

// end forgets an instance for good: no later heartbeat of it counts.
func (r *Registry) end(key string) {
	delete(r.live, key)
	if slices.Contains(r.ended, key) {
		return
	}
	r.ended = append(r.ended, key)
	if extra := len(r.ended) - mostEnded; extra > 0 {
		r.ended = slices.Delete(r.ended, 0, extra)
	}
}

// changed logs a change of one endpoint and tells of all.
func (r *Registry) changed(e Endpoint) {
	events.EndpointAnnounced.Log(r.log).Str("endpoint", e.Key).Str("service", e.Value.Service).
		Bool("leaving", e.Draining).Uint64("sequence", e.sequence).Send()
	r.onChange(r.list())
}

// Leave takes an endpoint's word that it leaves for good; it may finish what it has. Without its birth, 0, the word is of the life
// that is there.
func (r *Registry) Leave(now time.Time, instance string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	met := false
	for key, e := range r.live {
		if name, at := Instance(key); name == instance && (born == 0 || at == born) {
			r.drain(e)
			met = true
		}
	}
	// One that this process never met must not begin later by a heartbeat that was on its way.
	switch {
	case met:
	case born > 0:
		r.end(Key(instance, born))
	default:
		r.end(instance)
		r.noteLeft(now, instance)
	}
}

// noteLeft remembers that an endpoint has left whose birth is not known: later lives of it are born after that.
func (r *Registry) noteLeft(now time.Time, instance string) {
	if len(r.left) >= mostEnded {
		clear(r.left)
	}
	r.left[instance] = now.UnixMilli()
}

// drain keeps new work from an instance for good.
func (r *Registry) drain(e Endpoint) {
	if e.Draining {
		return
	}
	e.Draining = true
	e.Value.Phase = table.Draining
	r.live[e.Key] = e
	r.changed(e)
}

// Endpoint returns one endpoint beside this node.
func (r *Registry) Endpoint(key string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.live[key]
	return e, ok
}

// Of returns an endpoint of a service that takes new work, the first by name.
func (r *Registry) ActiveEndpoint(service string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, found := Endpoint{}, false
	for key, e := range r.live {
		if e.Value.Service == service && !e.Draining && (!found || key < first.Key) {
			first, found = e, true
		}
	}
	return first, found
}

// Serving tells whether some endpoint takes new work.
func (r *Registry) HasActive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.live {
		if !e.Draining {
			return true
		}
	}
	return false
}

// Known returns how many endpoints have announced themselves, leaving ones included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.live)
}

// list returns every endpoint, sorted by key; the lock is held.
func (r *Registry) list() []table.Announced {
	out := make([]table.Announced, 0, len(r.live))
	for _, e := range r.live {
		out = append(out, table.Announced{Key: e.Key, Value: e.Value})
	}
	slices.SortFunc(out, func(a, b table.Announced) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
