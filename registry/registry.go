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
	// maxEnded bounds how many ended incarnations are remembered so that their late heartbeats change nothing.
	maxEnded = 256
	// maxSlots is the largest number of slots that a heartbeat may report.
	maxSlots = 10000
)

// Heartbeat is one heartbeat of an endpoint.
type Heartbeat struct {
	// Instance is the endpoint's own name.
	Instance string
	// Born is when the endpoint's process started, in milliseconds since 1970; 0 if not reported.
	Born int64
	// Service is the key of the service's row.
	Service string
	// Address is the endpoint's IP and port.
	Address string
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Draining is set when the endpoint takes no new requests.
	Draining bool
	// Cold is how much longer the endpoint remains slow after its start.
	Cold time.Duration
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
}

// Key identifies the endpoint's incarnation.
func (b Heartbeat) Key() string { return Key(b.Instance, b.Born) }

// Endpoint is one endpoint beside this node.
type Endpoint struct {
	// Entry is the endpoint's row.
	table.Entry[table.Endpoint]
	// Draining is set for good once the endpoint has reported that it drains or leaves.
	Draining bool
	// ReportedAt is when the endpoint last reported how long it remains cold, the zero time if it never did; ColdUntil
	// is the end of that time. Both are readings of clock.Boot.
	ReportedAt, ColdUntil time.Time
	// sequence is the highest sequence number received.
	sequence uint64
}

// Registry is the set of endpoints beside this node; it is safe for concurrent use.
type Registry struct {
	host, hall string
	log        *zerolog.Logger
	clock      clock.Clock
	onChange   func([]table.Announced)

	mu sync.Mutex
	// live holds the current incarnations by key, draining ones included. ended holds the keys of the last incarnations
	// that were replaced by another or that left before their first heartbeat here, oldest first.
	live  map[string]Endpoint
	ended []string
	// leftAt holds endpoints that reported leaving, without a start time, before this process had received a heartbeat
	// of theirs: their names and when they reported it, in milliseconds since 1970.
	leftAt map[string]int64
}

// New returns an empty registry for a host. onChange is called with all endpoints after each change and must not block.
func New(host, hall string, log *zerolog.Logger, onChange func([]table.Announced)) *Registry {
	return &Registry{
		host: host, hall: hall, log: log, clock: clock.Boot, onChange: onChange, live: make(map[string]Endpoint), leftAt: make(map[string]int64),
	}
}

// Beat records a heartbeat; the error is BadRequest if it is invalid. Once Beat returns, a draining endpoint gets no
// new requests.
//
// Invariant: an incarnation that was ever draining or leaving never takes new requests again, and one that was replaced
// by a later one of the same name or address never comes back, whatever arrives later.
func (r *Registry) Beat(b Heartbeat) error {
	if err := b.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isSuperseded(b) {
		return nil
	}
	key, now := b.Key(), r.clock()
	old, known := r.live[key]
	if known && b.Sequence <= old.sequence {
		// A late heartbeat with an older sequence number counts only if it reports draining, because draining is final.
		if b.Draining {
			r.markDraining(old)
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
		r.notifyChange(next)
	}
	return nil
}

// isSuperseded reports whether a heartbeat is from an incarnation that has ended or that another one has replaced; the
// caller holds the lock.
func (r *Registry) isSuperseded(b Heartbeat) bool {
	if slices.Contains(r.ended, b.Key()) {
		return true
	}
	if at, ok := r.leftAt[b.Instance]; ok && b.Born <= at {
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

// Restore adds an endpoint that an earlier run of this node had announced, after the endpoint has just confirmed that
// it is still the same incarnation and not draining; cold is how much longer it remains cold. It does nothing if this
// run already knows an endpoint, or if this incarnation has ended.
func (r *Registry) Restore(a table.Announced, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.live) > 0 || slices.Contains(r.ended, a.Key) || a.Value.Phase != table.Active {
		return
	}
	now := r.clock()
	e := Endpoint{Entry: table.Entry[table.Endpoint]{Key: a.Key, Value: a.Value}, ReportedAt: now, ColdUntil: now.Add(cold)}
	r.live[a.Key] = e
	r.notifyChange(e)
}

// Check returns BadRequest for an invalid heartbeat.
func (b Heartbeat) Check() error {
	switch {
	case b.Instance == "" || strings.ContainsAny(b.Instance, " \t\r\n/"):
		return fault.New(fault.BadRequest, "heartbeat", "want the instance")
	case b.Service == "":
		return fault.New(fault.BadRequest, "heartbeat.service", "want a service")
	case b.Born < 0:
		return fault.New(fault.BadRequest, "heartbeat.born", "want milliseconds since 1970")
	case b.Slots <= 0 || b.Slots > maxSlots:
		return fault.New(fault.BadRequest, "heartbeat.slots", fmt.Sprintf("want 1 to %d slots", maxSlots))
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		return fault.New(fault.BadRequest, "heartbeat.address", "want an IP and port")
	}
	return nil
}

// replaceOthers ends the other incarnations at the same address or of the same name.
func (r *Registry) replaceOthers(next Endpoint) {
	name, _ := Instance(next.Key)
	for key, e := range r.live {
		other, _ := Instance(key)
		if key != next.Key && (other == name || e.Value.Address == next.Value.Address) {
			r.end(key)
		}
	}
}

// end removes an incarnation for good: its later heartbeats are ignored.
func (r *Registry) end(key string) {
	delete(r.live, key)
	if slices.Contains(r.ended, key) {
		return
	}
	r.ended = append(r.ended, key)
	if extra := len(r.ended) - maxEnded; extra > 0 {
		r.ended = slices.Delete(r.ended, 0, extra)
	}
}

// notifyChange logs the change of one endpoint and passes all endpoints to onChange.
func (r *Registry) notifyChange(e Endpoint) {
	events.EndpointAnnounced.Log(r.log).Str("endpoint", e.Key).Str("service", e.Value.Service).
		Bool("leaving", e.Draining).Uint64("sequence", e.sequence).Send()
	r.onChange(r.list())
}

// Leave records that an endpoint is leaving for good; it may finish its in-flight requests. If born is 0, the report
// applies to the current incarnation of that name.
func (r *Registry) Leave(now time.Time, instance string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for key, e := range r.live {
		if name, at := Instance(key); name == instance && (born == 0 || at == born) {
			r.markDraining(e)
			found = true
		}
	}
	// An endpoint that this process doesn't know yet must not be added later by a heartbeat that was still on its way.
	switch {
	case found:
	case born > 0:
		r.end(Key(instance, born))
	default:
		r.end(instance)
		r.recordLeft(now, instance)
	}
}

// recordLeft remembers when an endpoint of unknown start time left; incarnations that started after that are not
// affected.
func (r *Registry) recordLeft(now time.Time, instance string) {
	if len(r.leftAt) >= maxEnded {
		clear(r.leftAt)
	}
	r.leftAt[instance] = now.UnixMilli()
}

// markDraining keeps new requests from an incarnation for good.
func (r *Registry) markDraining(e Endpoint) {
	if e.Draining {
		return
	}
	e.Draining = true
	e.Value.Phase = table.Draining
	r.live[e.Key] = e
	r.notifyChange(e)
}

// Endpoint returns the endpoint with the key.
func (r *Registry) Endpoint(key string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.live[key]
	return e, ok
}

// ActiveEndpoint returns an endpoint of a service that takes new requests, the first by key.
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

// HasActive reports whether any endpoint takes new requests.
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

// Count returns how many endpoints have announced themselves, draining ones included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.live)
}

// list returns all endpoints, sorted by key; the caller holds the lock.
func (r *Registry) list() []table.Announced {
	out := make([]table.Announced, 0, len(r.live))
	for _, e := range r.live {
		out = append(out, table.Announced{Key: e.Key, Value: e.Value})
	}
	slices.SortFunc(out, func(a, b table.Announced) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
