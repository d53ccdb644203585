package registry

import (
	"cmp"
	"context"
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
	// maxPast bounds how many earlier incarnations of each kind are remembered, here and in the store: more than an endpoint
	// that crashes again and again starts within the seconds by which a heartbeat may be late.
	maxPast = 16
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
	// knownSince is when this run first heard of the incarnation, a reading of the registry's clock.
	knownSince time.Time
	// sequence is the highest sequence number received.
	sequence uint64
}

// Registry is the set of endpoints beside this node; it is safe for concurrent use.
type Registry struct {
	host, hall string
	log        *zerolog.Logger
	clock      clock.Clock
	onChange   ChangeFunc
	// awaitStored waits until the store holds all that onChange was called with.
	awaitStored func(context.Context) error

	mu sync.Mutex
	// live holds the current incarnations by key, draining ones included.
	live map[string]Endpoint
	// ended holds the last incarnations that drained or left and are not current any more, oldest first.
	ended []endedIncarnation
	// replaced holds the last incarnations that had not drained when another one took their place, oldest first.
	replaced []replacedIncarnation
	// earlier holds the active endpoints that an earlier run of this node had announced and that have not reported to
	// this run.
	earlier map[string]table.Announced
	// recovered is true once this run knows what earlier ones have stored. held has the first heartbeats of unknown
	// incarnations that wait for that, oldest first.
	recovered bool
	held      []heldHeartbeat
	// startedAt is when this run began, a reading of the registry's clock.
	startedAt time.Time
}

// ChangeFunc receives all endpoints, and what later runs of the node have to know of earlier incarnations.
type ChangeFunc func(endpoints []table.Announced, past table.PastIncarnations)

// Option configures a Registry in New.
type Option func(*Registry)

// WithStore makes the registry wait for what earlier runs of the node have stored (Recover). awaitStored waits until the store
// holds all that onChange was called with, Unavailable if it does not in time.
func WithStore(awaitStored func(context.Context) error) Option {
	return func(r *Registry) { r.recovered, r.awaitStored = false, awaitStored }
}

// WithClock replaces the clock.
func WithClock(c clock.Clock) Option { return func(r *Registry) { r.clock = c } }

// New returns an empty registry for a host. onChange is called after each change and must not block.
func New(host, hall string, log *zerolog.Logger, onChange ChangeFunc, opts ...Option) *Registry {
	r := &Registry{
		host: host, hall: hall, log: log, clock: clock.Boot, onChange: onChange, live: make(map[string]Endpoint),
		earlier: make(map[string]table.Announced), recovered: true, awaitStored: func(context.Context) error { return nil },
	}
	for _, opt := range opts {
		opt(r)
	}
	r.startedAt = r.clock()
	return r
}

// TakeBeat records a heartbeat and returns nil when it may be acknowledged: BadRequest if it is invalid, Unavailable if it
// reports draining and the store does not hold that in time, or if another incarnation of the name is still in use.
//
// Invariant: a report of draining or leaving is acknowledged only once no incarnation of the endpoint's name takes new requests and
// the store holds that. The acknowledgement binds later runs of the node too, which know of it from the store alone.
func (r *Registry) TakeBeat(ctx context.Context, b Heartbeat) error {
	if err := r.Beat(b); err != nil || !b.Draining {
		return err
	}
	return r.awaitStored(ctx)
}

// TakeLeave records as Leave does and returns nil when that may be acknowledged, Unavailable as TakeBeat does.
func (r *Registry) TakeLeave(ctx context.Context, now time.Time, instance string, born int64) error {
	if err := r.Leave(now, instance, born); err != nil {
		return err
	}
	return r.awaitStored(ctx)
}

// Beat records a heartbeat; the error is BadRequest if it is invalid, Unavailable if it reports draining and another incarnation of
// the name may be the one that runs. Once Beat returns nil, a draining endpoint gets no new requests.
//
// Invariant: an incarnation that was ever draining or leaving never takes new requests again, whatever arrives later and
// whichever run of this node receives it. Any other one that runs and keeps reporting takes requests within seconds, whatever its
// start time and whichever others had its name or address before.
func (r *Registry) Beat(b Heartbeat) error {
	if err := b.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beat(b)
}

// beat applies a valid heartbeat, or holds it back; the caller holds the lock.
func (r *Registry) beat(b Heartbeat) error {
	old, known := r.live[b.Key()]
	switch {
	case r.hasEnded(b.Instance, b.Born):
		r.logIgnored(b, "superseded")
	case known && b.Sequence <= old.sequence:
		// A late heartbeat with an older sequence number counts only if it reports draining, because draining is final.
		if b.Draining {
			r.markDraining(old)
		}
	case known:
		r.update(b)
	case r.lacksStartTime(b):
		return r.ignore(b, "superseded")
	case r.wasReplaced(b.Key()) || r.isDoubtful(b):
		return r.claim(b)
	case b.Draining && b.Born == 0 && r.hasActiveRival(b):
		// An unknown incarnation that drains started before the active endpoint in its place.
		r.endUnknown(b.Key())
	case !b.Draining && !r.recovered:
		r.hold(b)
	default:
		r.update(b)
	}
	return nil
}

// update makes a heartbeat's incarnation a current one, as the heartbeat describes it; the caller holds the lock.
func (r *Registry) update(b Heartbeat) {
	key, now := b.Key(), r.clock()
	old, known := r.live[key]
	next := Endpoint{
		Entry: table.Entry[table.Endpoint]{Key: key, Value: table.Endpoint{
			Service: b.Service, Host: r.host, Hall: r.hall, Address: b.Address,
			Slots: table.Count(b.Slots), Weight: 1, //nolint:gosec // checked
		}},
		Draining: old.Draining || b.Draining, ReportedAt: now, ColdUntil: now.Add(b.Cold), sequence: max(old.sequence, b.Sequence),
		knownSince: old.knownSince,
	}
	if next.Draining {
		next.Value.Phase = table.Draining
	}
	r.add(next)
	if !known || old.Value != next.Value {
		r.notifyChange(next)
	}
}

// add makes an incarnation a current one, in place of others of its name or address; the caller holds the lock.
func (r *Registry) add(e Endpoint) {
	name, _ := Instance(e.Key)
	isOther := func(key, address string) bool {
		other, _ := Instance(key)
		return key != e.Key && (other == name || address == e.Value.Address)
	}
	for key, other := range r.live {
		switch {
		case !isOther(key, other.Value.Address):
		case other.Draining:
			r.end(key)
		default:
			r.replace(key)
		}
	}
	if e.knownSince.IsZero() {
		e.knownSince = r.clock()
	}
	for key, other := range r.earlier {
		if isOther(key, other.Value.Address) {
			r.replace(key)
		}
	}
	delete(r.earlier, e.Key)
	r.replaced = slices.DeleteFunc(r.replaced, func(i replacedIncarnation) bool { return i.key == e.Key })
	r.live[e.Key] = e
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

// notifyChange logs the change of one endpoint and passes all endpoints to onChange.
func (r *Registry) notifyChange(e Endpoint) {
	events.EndpointAnnounced.Log(r.log).Str("endpoint", e.Key).Str("service", e.Value.Service).
		Bool("leaving", e.Draining).Uint64("sequence", e.sequence).Send()
	r.notify()
}

// notify passes all endpoints to onChange; the caller holds the lock.
func (r *Registry) notify() { r.onChange(r.list(), r.past()) }

// logIgnored logs a heartbeat that changes nothing, or nothing yet.
func (r *Registry) logIgnored(b Heartbeat, reason string) {
	events.HeartbeatIgnored.Log(r.log).Str("endpoint", b.Key()).Uint64("sequence", b.Sequence).
		Bool("leaving", b.Draining).Str("reason", reason).Send()
}

// markDraining keeps new requests from an incarnation for good.
func (r *Registry) markDraining(e Endpoint) {
	if e.Draining {
		return
	}
	e.Draining = true
	e.Value.Phase = table.Draining
	r.add(e)
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
	return r.hasActive()
}

// hasActive is HasActive; the caller holds the lock.
func (r *Registry) hasActive() bool {
	for _, e := range r.live {
		if !e.Draining {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all endpoints, draining ones included, sorted.
func (r *Registry) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.live))
	for _, e := range r.live {
		out = append(out, e.Value.Address)
	}
	slices.Sort(out)
	return out
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
