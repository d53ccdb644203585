package scene

import (
	"fmt"
	"net/http"
	"time"
)

// The doses of the scene birth.
const (
	// clockStep is by how much the time of day of one machine jumps ahead; it jumps back later (clock_step: 2000 ms).
	clockStep = 2 * time.Second
	// flapUp and flapDown are the halves of a period of a target that goes down and up (srv_flap: 1.4 s).
	flapUp   = 700 * time.Millisecond
	flapDown = 700 * time.Millisecond
	// machinesInScene makes one machine a seventh, below the shares of both.
	machinesInScene = 7
	// touchTime and drainTime are touchS and drainS of the deployment whose targets tell when they started.
	touchTime = 5 * time.Second
	drainTime = 4 * time.Second
	// served is how long the target serves on after its draining is acknowledged.
	served = 9 * time.Second
)

// playBirth plays a target that goes down and up once while its machine's time of day jumps back, and leaves later as planned.
func playBirth(s *stage, trouble bool) (broken bool, err error) {
	s.graceS = "10"
	if err := s.configure(3, route{prefix: "/book/", kind: "unsafe", service: "desk", timeoutS: 2.5, aimS: 0.8, attempts: 2}); err != nil {
		return false, err
	}
	machines, err := s.addMachines("desk", machinesInScene)
	if err != nil {
		return false, err
	}
	for i, m := range machines[1:] {
		t, err := startTarget(m, fmt.Sprintf("i-%d", i+2), time.Now().UnixMilli(), workTime, nil)
		if err != nil {
			return false, err
		}
		defer t.end()
	}
	t, err := flappingTarget(machines[0], trouble)
	if err != nil {
		return false, err
	}
	defer t.end()
	c := newClients(s, machines, http.MethodPost, "/book/", 5*time.Second)
	stop := make(chan struct{})
	go c.send(25*time.Millisecond, stop)
	// All machines are in touch long before the target leaves.
	time.Sleep(2*touchTime + 2*time.Second)
	at, ok := t.drain(4 * time.Second)
	if ok {
		time.Sleep(served)
		t.leave()
	}
	t.end()
	close(stop)
	time.Sleep(time.Second)
	c.wait.Wait()
	c.write()
	if !ok {
		s.note("draining is not acknowledged")
		return false, nil
	}
	return s.lateAt(t, at, c.done()) > 0, nil
}

// lateAt counts the requests that reached a target later than allowed after it was acknowledged as draining, and records
// which of them its end has cut off.
func (s *stage) lateAt(t *target, acknowledged time.Time, list []sent) (late int) {
	answers := make(map[string]sent)
	for _, r := range list {
		answers[r.id] = r
	}
	for _, r := range t.taken() {
		if after := r.at.Sub(acknowledged); after > drainTime {
			late++
			s.note("target %s runs %s %.3f s after the acknowledgement; its client was told %d", t.id, r.id, after.Seconds(), answers[r.id].status)
		}
	}
	s.note("requests that reached %s later than %v after the acknowledgement: %d", t.id, drainTime, late)
	return late
}

// flappingTarget starts the target of a machine. With trouble, the machine's time of day is ahead, the target ends and
// starts again under its id, and the time of day has jumped back in between.
func flappingTarget(m *machine, trouble bool) (*target, error) {
	const id = "i-1"
	if !trouble {
		return startTarget(m, id, time.Now().UnixMilli(), workTime, nil)
	}
	m.s.note("the time of day of %s jumps ahead by %v", m.name, clockStep)
	t, err := startTarget(m, id, time.Now().Add(clockStep).UnixMilli(), workTime, nil)
	if err != nil {
		return nil, err
	}
	time.Sleep(flapUp)
	t.end()
	m.s.note("the time of day of %s jumps back", m.name)
	time.Sleep(flapDown)
	return startTarget(m, id, time.Now().UnixMilli(), workTime, nil)
}
