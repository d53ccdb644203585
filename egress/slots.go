package egress

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/slotuse"
)

// lateShare is the share of usual requests that take longer than one that counts as late in the accounting of slots.
const lateShare = 0.05

// lateAfter returns the age from which requests of a class are late; the lock must be held.
func (l *localEndpoint) lateAfter(class breaker.RequestClass) time.Duration {
	return l.latencies.For(class.Kind, class.UsualTime).Late(lateShare)
}

// noteLevels has the slots accounted for by the levels of the queue from now on; the lock must be held.
func (l *localEndpoint) noteLevels() {
	if l.use != nil {
		l.use.SetLevels(time.Now(), l.slots, l.queue.Busy(), l.queue.Waiting())
	}
}

// noteBreaker has the slots accounted for by the breaker's state from now on; the lock must be held.
func (l *localEndpoint) noteBreaker() {
	if l.use != nil {
		l.use.SetBreaker(time.Now(), l.breaker.State() != breaker.Closed, l.lateAfter)
	}
}

// takeSlotUse returns what the slots were used for since the last call; ok is false if the endpoint was idle all the time
// or its slots are not accounted for.
func (l *localEndpoint) takeSlotUse() (use slotuse.Use, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.use == nil {
		return slotuse.Use{}, false
	}
	return l.use.Take(time.Now(), l.lateAfter)
}

// LogSlotUse logs, for each endpoint that was in use since the last call, what its slots were used for. It logs nothing
// without the setting reclaim_slots. Its caller calls it every 2 s, and need not keep to that exactly.
func (e *Egress) LogSlotUse() {
	if !e.cfg.ReclaimSlots {
		return
	}
	e.mu.Lock()
	endpoints := make([]*localEndpoint, 0, len(e.endpoints))
	for _, l := range e.endpoints {
		endpoints = append(endpoints, l)
	}
	e.mu.Unlock()
	for _, l := range endpoints {
		if use, ok := l.takeSlotUse(); ok {
			e.logSlotUse(l, use)
		}
	}
}

func (e *Egress) logSlotUse(l *localEndpoint, use slotuse.Use) {
	line := events.SlotsUsed.Log(e.log).Str("endpoint", l.key).Str("service", l.serviceName()).Dur("for", use.For).Int("slots", use.Slots)
	if use.Closed != (slotuse.Seconds{}) {
		line.Dict("closed", secondsDict(use.Closed))
	}
	if use.Open != (slotuse.Seconds{}) {
		line.Dict("open", secondsDict(use.Open))
	}
	routes := zerolog.Arr()
	for _, r := range use.Routes {
		routes.Dict(zerolog.Dict().Str("route", r.Route).Float64("working", milliPrecision(r.Working)).Float64("late", milliPrecision(r.Late)))
	}
	line.Float64("waiting", milliPrecision(use.Waiting)).Array("routes", routes).Send()
}

func secondsDict(s slotuse.Seconds) *zerolog.Event {
	return zerolog.Dict().Float64("working", milliPrecision(s.Working)).Float64("late", milliPrecision(s.Late)).
		Float64("idle", milliPrecision(s.Idle)).Float64("grant", milliPrecision(s.Grant))
}

// milliPrecision returns a time in seconds, to the millisecond.
func milliPrecision(d time.Duration) float64 { return math.Round(d.Seconds()*1e3) / 1e3 }
