package director

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// Config holds the director's settings and what it needs from its node.
type Config struct {
	// Host is this node's host.
	Host string
	// Hall is the node's hall.
	Hall string
	// HallHosts returns the hosts of the node's hall in a fixed order; it returns the same slice until the list
	// changes. Nil means no hosts.
	HallHosts func() []string
	// RegionOf returns the region of a hall, or "" if the region is unknown. Nil means that every region is unknown.
	RegionOf func(hall string) string
	// InterHallRTT is the round-trip time to another hall.
	InterHallRTT time.Duration
	// Ejection is the ejection policy for whatever a service's row leaves open; the zero value means the default
	// policy.
	Ejection eject.Config
	// SuspectRoom is the setting suspect_room of the section overload: requests that find no free slot go to suspects by
	// their chance and room.
	SuspectRoom bool
}

const (
	tickInterval       = 100 * time.Millisecond
	messageBuffer      = 8192
	idleServiceTimeout = 10 * time.Minute
	// refreshInterval is how often a service whose endpoints are all in the serving phase takes over changes of the
	// table and of the list of hosts. The delay is harmless for drains, because the egress enforces them.
	refreshInterval = 500 * time.Millisecond
)

// Director owns the detectors of all services; it is a kernel component.
type Director struct {
	cfg      Config
	log      *zerolog.Logger
	state    func() *table.State
	draining func(host string) bool
	usable   func(host string) bool

	views    sync.Map // service key to *view
	messages chan message
	dropped  atomic.Uint64
	done     chan struct{}
	stop     context.CancelFunc

	// The fields below belong to the control goroutine.

	services map[string]*runtime
	// unsettled is set while some endpoint of some service is in a phase other than serving.
	unsettled bool
}

// runtime is the control goroutine's state of one service.
type runtime struct {
	key        string
	detector   *eject.Detector
	targets    map[string]*target
	phases     map[string]eject.Phase
	revision   table.Revisions
	usedAt     time.Time
	membership *membership
	// evacuated holds the halls that were evacuated at the last refresh.
	evacuated map[string]bool
	// requiredMembers is how many endpoints of the node's own hall its requests need; it decays slowly after a peak.
	requiredMembers float64
	// unsettled is set while some endpoint is in a phase other than serving.
	unsettled   bool
	refreshedAt time.Time
}

// New returns a director. draining reports whether the host list says that a host drains, usable whether a link to the
// host works.
func New(cfg Config, log *zerolog.Logger, state func() *table.State, draining, usable func(host string) bool) *Director {
	if cfg.Ejection == (eject.Config{}) {
		cfg.Ejection = eject.DefaultConfig()
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(string) string { return "" }
	}
	if cfg.HallHosts == nil {
		cfg.HallHosts = func() []string { return nil }
	}
	d := &Director{
		cfg: cfg, log: log, state: state, draining: draining, usable: usable,
		messages: make(chan message, messageBuffer), done: make(chan struct{}),
		services: make(map[string]*runtime),
	}
	return d
}

// Start starts the control goroutine.
func (d *Director) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go d.control(ctx)
	return nil
}

// Stop ends the control goroutine.
func (d *Director) Stop(context.Context) error {
	d.stop()
	<-d.done
	return nil
}

func (d *Director) control(ctx context.Context) {
	defer close(d.done)
	tick := time.NewTimer(refreshInterval)
	defer tick.Stop()
	for {
		wasSettled := !d.unsettled
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			m.apply(d, time.Now())
			if wasSettled && d.unsettled {
				tick.Reset(tickInterval)
			}
		case now := <-tick.C:
			d.tick(now)
			tick.Reset(d.nextTickDelay())
		}
	}
}

// nextTickDelay returns the time until the next tick. Endpoints that are being ejected or are returning change phase
// with time and need ten ticks a second; without such endpoints no phase depends on the time.
func (d *Director) nextTickDelay() time.Duration {
	if d.unsettled {
		return tickInterval
	}
	return refreshInterval
}

func (d *Director) tick(now time.Time) {
	if n := d.dropped.Swap(0); n > 0 {
		events.ReportsDropped.Log(d.log).Uint64("count", n).Send()
	}
	wasSettled := !d.unsettled
	d.unsettled = false
	for key, rt := range d.services {
		if now.Sub(rt.usedAt) > idleServiceTimeout {
			delete(d.services, key)
			d.publish(key, nil)
			continue
		}
		rt.detector.Tick(now)
		if wasSettled || rt.unsettled || now.Sub(rt.refreshedAt) >= refreshInterval {
			d.refresh(now, rt)
		}
		d.unsettled = d.unsettled || rt.unsettled
	}
}

// runtimeOf returns the runtime of a service, creating it on first use, or nil if the service is not in the table.
func (d *Director) runtimeOf(now time.Time, key string) *runtime {
	rt := d.services[key]
	if rt == nil {
		if _, ok := d.state().Service(key); !ok {
			return nil
		}
		rt = &runtime{
			key: key, detector: eject.NewDetector(d.cfg.Ejection),
			targets: make(map[string]*target), phases: make(map[string]eject.Phase), evacuated: make(map[string]bool),
		}
		d.services[key] = rt
	}
	rt.usedAt = now
	return rt
}

// loadView returns the published view of a service, or nil if there is none.
func (d *Director) loadView(key string) *view {
	found, _ := d.views.Load(key)
	v, _ := found.(*view)
	return v
}

// publish replaces the view of a service; nil removes it.
func (d *Director) publish(key string, v *view) {
	if v == nil {
		d.views.Delete(key)
		return
	}
	d.views.Store(key, v)
}

// message is an event that the control goroutine applies to the director's state.
type message interface {
	apply(d *Director, now time.Time)
}

// send queues a message for the control goroutine. If the queue is full, the message is dropped and counted.
func (d *Director) send(m message) {
	select {
	case d.messages <- m:
	default:
		d.dropped.Add(1)
	}
}

// trackMessage asks the control goroutine to start tracking a service and to publish its view.
type trackMessage struct {
	service string
	done    chan struct{}
}

func (m trackMessage) apply(d *Director, now time.Time) {
	defer close(m.done)
	if rt := d.runtimeOf(now, m.service); rt != nil {
		d.refresh(now, rt)
	}
}

// view returns the view of a service. On the first use of a service it waits until the control goroutine has created
// the view.
func (d *Director) view(ctx context.Context, service string) (*view, error) {
	if v := d.loadView(service); v != nil {
		return v, nil
	}
	m := trackMessage{service: service, done: make(chan struct{})}
	select {
	case d.messages <- m:
	case <-ctx.Done():
		return nil, fault.New(fault.Canceled, service, "caller went away")
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	case <-d.done:
	}
	if v := d.loadView(service); v != nil {
		return v, nil
	}
	return nil, fault.New(fault.NoEndpoint, service, "no such service")
}
