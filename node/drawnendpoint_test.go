package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/registry"
)

// drawnBoot is one run of the endpoint's process.
type drawnBoot struct {
	// id is its key, name and born are what it says of itself.
	id       string
	name     string
	born     int64
	started  time.Time
	sequence uint64
	leaving  bool
	ended    bool
	// acknowledged is when a process first acknowledged that it drains or leaves.
	acknowledged time.Time
	// goodProbe is false for an endpoint whose probe fails although it is well.
	goodProbe bool
	// withdrawn is set when the boot had ended and a planned stop of the node has withdrawn the announcement.
	withdrawn bool
}

// probe implements probeFunc: the boot that runs answers.
func (d *drawnHostRun) probe(context.Context, string, string) (string, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.boot; b != nil && !b.ended && !b.leaving && b.goodProbe {
		return b.name, 0
	}
	return "", 0
}

// call makes a call of an endpoint at the process that runs after a delay, and reports whether it is acknowledged in time.
func (d *drawnHostRun) call(route int, id string, req *http.Request, delay time.Duration) bool {
	begin := time.Now()
	time.Sleep(delay)
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p == nil {
		return false
	}
	w := httptest.NewRecorder()
	p.routes[route].Handler(w, pathvar.WithVars(req, map[string]string{"id": id}))
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.Code == http.StatusOK && !p.dead && time.Since(begin) < drawnAckLimit
}

// beat sends a heartbeat; it reports whether it is acknowledged in time. Those that do not report draining may come late, or
// not at all.
func (d *drawnHostRun) beat(b *drawnBoot, draining bool) bool {
	d.mu.Lock()
	b.sequence++
	beat := registry.Heartbeat{Instance: b.name, Born: b.born, Service: drawnService, Address: drawnAddress, Slots: 4, Draining: draining, Sequence: b.sequence}
	faults := d.faults
	d.mu.Unlock()
	req, err := platform.HeartbeatRequest(drawnAddress, beat)
	if err != nil {
		panic(err)
	}
	delay := d.draw(0, 5*time.Millisecond)
	if faults && !draining && d.chance(0.3) {
		delay = d.draw(200*time.Millisecond, 7*time.Second)
		d.sayf("%s heartbeat %d comes %v late", b.id, beat.Sequence, delay)
		go d.call(heartbeatRoute, b.name, req, delay)
		return false
	}
	return d.call(heartbeatRoute, b.name, req, delay)
}

// leave reports that a boot leaves, and returns whether that is acknowledged in time.
func (d *drawnHostRun) leave(b *drawnBoot) bool {
	req, err := platform.LeaveRequest(drawnAddress, b.name, b.born)
	if err != nil {
		panic(err)
	}
	return d.call(leaveRoute, b.name, req, 0)
}

// endpoints runs the endpoint's boots one after another; the last one stays until ctx ends.
func (d *drawnHostRun) endpoints(ctx context.Context) {
	for i := 1; ctx.Err() == nil; i++ {
		b := d.newBoot(i)
		d.mu.Lock()
		d.boot, d.boots[b.id] = b, b
		d.note(b.id + " starts")
		last := !d.faults
		d.mu.Unlock()
		end := time.Now().Add(d.draw(time.Second, 12*time.Second))
		if d.sharedNames && !last {
			end = time.Now().Add(d.drawLife())
		}
		for ctx.Err() == nil && (last || time.Now().Before(end)) {
			last = last || d.sharedNames && d.isOver()
			go d.beat(b, false)
			time.Sleep(min(drawnBeat, max(time.Millisecond, time.Until(end))))
			if last {
				end = time.Now().Add(drawnBeat)
			}
		}
		d.end(ctx, b)
		time.Sleep(d.draw(100*time.Millisecond, 3*time.Second))
	}
}

// isOver reports whether the faults are over.
func (d *drawnHostRun) isOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.faults
}

// newBoot returns the next boot of the endpoint. Where boots share names they have start times, which follow the host's time of day:
// it steps in either direction, and back again.
func (d *drawnHostRun) newBoot(number int) *drawnBoot {
	b := &drawnBoot{name: fmt.Sprintf("i-%d", number), started: time.Now(), goodProbe: d.chance(0.7)}
	if d.sharedNames {
		if d.chance(0.8) {
			b.name = "i-1"
		}
		switch {
		case d.chance(0.3):
			d.clockOffset = d.draw(-maxClockStep, maxClockStep)
		case d.chance(0.3):
			d.clockOffset = 0
		}
		b.born = time.Now().Add(d.clockOffset).UnixMilli()
	}
	b.id = registry.Key(b.name, b.born)
	return b
}

// drawLife draws how long a boot of a shared name runs. After a short one the next boot may have an earlier start time.
func (d *drawnHostRun) drawLife() time.Duration {
	if d.chance(0.5) {
		return d.draw(100*time.Millisecond, 2*time.Second)
	}
	return d.draw(time.Second, 2*usedWithin)
}

// checkActive checks, until ctx ends, that the node uses no incarnation of the name of an endpoint that runs and whose leaving was
// acknowledged, since requests for it would reach that endpoint, and that it uses an endpoint that runs and reports within seconds.
func (d *drawnHostRun) checkActive(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		d.mu.Lock()
		if b := d.boot; b != nil && d.process != nil && !b.ended {
			d.checkBoot(b)
		}
		d.mu.Unlock()
	}
}

// checkBoot is checkActive for the boot that runs; the caller holds the lock.
func (d *drawnHostRun) checkBoot(b *drawnBoot) {
	e, ok := d.process.registry.ActiveEndpoint(drawnService)
	name, _ := registry.Instance(e.Key)
	switch {
	case ok && name == b.name && !b.acknowledged.IsZero() && time.Since(b.acknowledged) > 0:
		d.violations = append(d.violations, fmt.Sprintf("%s is active %v after the leaving of %s was acknowledged", e.Key, time.Since(b.acknowledged), b.id))
	case !b.leaving && e.Key != b.id && min(time.Since(b.started), time.Since(d.lastFault)) > usedWithin && d.storeFaults == 0:
		d.violations = append(d.violations, fmt.Sprintf("%s reports and is not used, but %q is", b.id, e.Key))
	}
}

// end ends a boot: it crashes, leaves, or drains and leaves.
func (d *drawnHostRun) end(ctx context.Context, b *drawnBoot) {
	if ctx.Err() == nil && !d.chance(d.crashChance) {
		drains := d.chance(0.5)
		d.mu.Lock()
		b.leaving = true
		d.mu.Unlock()
		d.report(b, drains)
		time.Sleep(d.draw(2*time.Second, 10*time.Second))
		if drains {
			d.leave(b)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b.ended = true
	d.note(b.id + " ends")
}

// uses reports whether the node uses a boot. One that it does not use may have to prove first that it is the boot of its name that
// runs. The caller holds the lock.
func (d *drawnHostRun) uses(b *drawnBoot) bool {
	e, ok := d.process.registry.ActiveEndpoint(drawnService)
	return ok && e.Key == b.id
}

// report repeats that a boot drains or leaves until that is acknowledged or the boot gives up.
func (d *drawnHostRun) report(b *drawnBoot, drains bool) {
	for begin := time.Now(); time.Since(begin) < drawnGiveUp; time.Sleep(drawnRepeat) {
		d.mu.Lock()
		calm := d.isCalm() && (!d.sharedNames || d.uses(b))
		d.mu.Unlock()
		var ok bool
		if drains {
			ok = d.beat(b, true)
		} else {
			ok = d.leave(b)
		}
		d.mu.Lock()
		d.note(fmt.Sprintf("%s reports draining=%v, acknowledged %v", b.id, drains, ok))
		if ok {
			b.acknowledged = time.Now()
		}
		if calm && d.isCalm() {
			d.calmAcks++
			if !ok {
				d.violations = append(d.violations, b.id+" got no acknowledgement in a calm time")
			}
		}
		d.mu.Unlock()
		if ok {
			if d.chance(0.4) {
				// The process goes right after the acknowledgement.
				time.AfterFunc(d.draw(0, 40*time.Millisecond), func() { d.stopProcess(d.chance(0.2)) })
			}
			return
		}
	}
}
