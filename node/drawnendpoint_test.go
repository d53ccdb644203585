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
	id       string
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
		return b.id, 0
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
	beat := registry.Heartbeat{Instance: b.id, Service: drawnService, Address: drawnAddress, Slots: 4, Draining: draining, Sequence: b.sequence}
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
		go d.call(heartbeatRoute, b.id, req, delay)
		return false
	}
	return d.call(heartbeatRoute, b.id, req, delay)
}

// leave reports that a boot leaves, and returns whether that is acknowledged in time.
func (d *drawnHostRun) leave(id string) bool {
	req, err := platform.LeaveRequest(drawnAddress, id, 0)
	if err != nil {
		panic(err)
	}
	return d.call(leaveRoute, id, req, 0)
}

// endpoints runs the endpoint's boots one after another; the last one stays until ctx ends.
func (d *drawnHostRun) endpoints(ctx context.Context) {
	for i := 1; ctx.Err() == nil; i++ {
		b := &drawnBoot{id: fmt.Sprintf("i-%d", i), goodProbe: d.chance(0.7)}
		d.mu.Lock()
		d.boot, d.boots[b.id] = b, b
		d.note(b.id + " starts")
		last := !d.faults
		d.mu.Unlock()
		end := time.Now().Add(d.draw(time.Second, 12*time.Second))
		for ctx.Err() == nil && (last || time.Now().Before(end)) {
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

// end ends a boot: it crashes, leaves, or drains and leaves.
func (d *drawnHostRun) end(ctx context.Context, b *drawnBoot) {
	if ctx.Err() == nil && !d.chance(0.25) {
		drains := d.chance(0.5)
		d.mu.Lock()
		b.leaving = true
		d.mu.Unlock()
		d.report(b, drains)
		time.Sleep(d.draw(2*time.Second, 10*time.Second))
		if drains {
			d.leave(b.id)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b.ended = true
	d.note(b.id + " ends")
}

// report repeats that a boot drains or leaves until that is acknowledged or the boot gives up.
func (d *drawnHostRun) report(b *drawnBoot, drains bool) {
	for begin := time.Now(); time.Since(begin) < drawnGiveUp; time.Sleep(drawnRepeat) {
		d.mu.Lock()
		calm := d.isCalm()
		d.mu.Unlock()
		var ok bool
		if drains {
			ok = d.beat(b, true)
		} else {
			ok = d.leave(b.id)
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
