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

// Config is what a director needs to know of its node.
type Config struct {
	// Host is this node's host.
	Host string
	// Hall is the node's hall.
	Hall string
	// Choosers returns the hosts of the hall in order, the same list until they are others; nil stands for none.
	HallHosts func() []string
	// RegionOf returns the region of a hall, "" for none that is known; nil stands for that.
	RegionOf func(hall string) string
	// Distance is the time there and back to another hall.
	InterHallRTT time.Duration
	// Ejection is the policy of ejections but for what a service's row says; the zero value stands for the default.
	Ejection eject.Config
}

const (
	tickEvery   = 100 * time.Millisecond
	backlog     = 8192
	forgetAfter = 10 * time.Minute
	// refreshEvery is how soon a quiet service follows the table and the list of hosts; the egress enforces drains.
	refreshEvery = 500 * time.Millisecond
)

// Director owns the detectors; it is a kernel component.
type Director struct {
	cfg     Config
	log     *zerolog.Logger
	state   func() *table.State
	leaving func(host string) bool
	usable  func(host string) bool

	views    sync.Map // of *view by service
	messages chan message
	dropped  atomic.Uint64
	done     chan struct{}
	stop     context.CancelFunc

	// The control goroutine alone uses what follows.

	services map[string]*runtime
	// restless is set while some endpoint of some service is not simply serving.
	restless bool
}

type runtime struct {
	key        string
	detector   *eject.Detector
	targets    map[string]*target
	phases     map[string]eject.Phase
	revision   table.Revisions
	usedAt     time.Time
	membership *membership
	// evacuated are the halls that were evacuated at the last look.
	evacuated map[string]bool
	// need is how many endpoints of the own hall this node's requests take, as of late.
	need float64
	// unsettled is set while some endpoint is not simply serving.
	unsettled   bool
	refreshedAt time.Time
}

// New returns a director; leaving and usable tell what the host list and the links say of a host.
func New(cfg Config, log *zerolog.Logger, state func() *table.State, leaving, usable func(host string) bool) *Director {
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
		cfg: cfg, log: log, state: state, leaving: leaving, usable: usable,
		messages: make(chan message, backlog), done: make(chan struct{}),
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
	tick := time.NewTimer(refreshEvery)
	defer tick.Stop()
	for {
		calm := !d.restless
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			m.apply(d, time.Now())
			if calm && d.restless {
				tick.Reset(tickEvery)
			}
		case now := <-tick.C:
			d.tick(now)
			tick.Reset(d.pause())
		}
	}
}

// pause is the time to the next tick: endpoints that are on their way out or back are moved on ten times a second, and while
// there is none nothing waits for the time.
func (d *Director) pause() time.Duration {
	if d.restless {
		return tickEvery
	}
	return refreshEvery
}

func (d *Director) tick(now time.Time) {
	if n := d.dropped.Swap(0); n > 0 {
		events.ReportsDropped.Log(d.log).Uint64("count", n).Send()
	}
	calm := !d.restless
	d.restless = false
	for key, rt := range d.services {
		if now.Sub(rt.usedAt) > forgetAfter {
			delete(d.services, key)
			d.publish(key, nil)
			continue
		}
		rt.detector.Tick(now)
		if calm || rt.unsettled || now.Sub(rt.refreshedAt) >= refreshEvery {
			d.refresh(now, rt)
		}
		d.restless = d.restless || rt.unsettled
	}
}

// runtimeOf returns the service's runtime, nil for a service that is not in the table.
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

func (d *Director) published(key string) *view {
	found, _ := d.views.Load(key)
	v, _ := found.(*view)
	return v
}

// publish replaces one service's view; nil takes it out.
func (d *Director) publish(key string, v *view) {
	if v == nil {
		d.views.Delete(key)
		return
	}
	d.views.Store(key, v)
}

// message is one event for the control goroutine.
type message interface {
	apply(d *Director, now time.Time)
}

// send hands a message to the control goroutine; when it lags, the message is counted and dropped.
func (d *Director) send(m message) {
	select {
	case d.messages <- m:
	default:
		d.dropped.Add(1)
	}
}

type meetMessage struct {
	service string
	done    chan struct{}
}

func (m meetMessage) apply(d *Director, now time.Time) {
	defer close(m.done)
	if rt := d.runtimeOf(now, m.service); rt != nil {
		d.refresh(now, rt)
	}
}

// view returns the service's view, after the control goroutine has met the service if need be.
func (d *Director) view(ctx context.Context, service string) (*view, error) {
	if v := d.published(service); v != nil {
		return v, nil
	}
	m := meetMessage{service: service, done: make(chan struct{})}
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
	if v := d.published(service); v != nil {
		return v, nil
	}
	return nil, fault.New(fault.NoEndpoint, service, "no such service")
}
