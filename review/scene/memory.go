package scene

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The doses of the scene memory.
const (
	// faulty of the machines have a target that spoils one in spoiledOf of its answers (garble: share 0.5, x 0.02).
	faulty    = 2
	spoiledOf = 50
	// rate is that of a machine's link (linkMbps: 1000), in bytes a second.
	rate  = 125_000_000
	piece = 1 << 20
	// lasts is how long the clients send, sendInterval the time between two of their requests.
	lasts        = 60 * time.Second
	sendInterval = 14 * time.Millisecond
	// workTime is how long a target works at a request.
	workTime = 250 * time.Millisecond
	// mostLost is how many kept connections a machine may close without an answer (LOST).
	mostLost = 3
)

// playMemory plays targets of which a few answers are bytes that form no answer.
func playMemory(s *stage, trouble bool) (broken bool, err error) {
	if err := s.configure(3, route{prefix: "/book/", kind: "unsafe", service: "desk", timeoutS: 2.5, aimS: 0.8, attempts: 2}); err != nil {
		return false, err
	}
	machines, err := s.addMachines("desk", machinesInScene)
	if err != nil {
		return false, err
	}
	var targets []*target
	for i, m := range machines {
		var spoil func(w http.ResponseWriter, number int) bool
		if trouble && i < faulty {
			spoil = func(w http.ResponseWriter, number int) bool { return number%spoiledOf == 0 && spoilAnswer(m, w) }
		}
		t, err := startTarget(m, fmt.Sprintf("i-%d", i+1), 0, workTime, spoil)
		if err != nil {
			return false, err
		}
		defer t.end()
		targets = append(targets, t)
	}
	stop := make(chan struct{})
	ends := make([]atomic.Int64, len(machines))
	for i, m := range machines {
		go m.limitMemory(stop, &ends[i])
	}
	c := newClients(s, machines, http.MethodPost, "/book/", 5*time.Second)
	go c.send(sendInterval, stop)
	time.Sleep(lasts)
	close(stop)
	time.Sleep(time.Second)
	c.wait.Wait()
	c.write()
	lost := s.lostAt(c.done(), targets[faulty:])
	for i, m := range machines {
		s.note("%s: its process went over %d MB and was ended %d times; %d kept connections closed without an answer to a request that a sound target had",
			m.name, memoryMB, ends[i].Load(), lost[m.name])
		broken = broken || lost[m.name] > mostLost
	}
	return broken, nil
}

// lostAt counts, by machine, the requests on kept connections that ended without an answer after a sound target had begun
// to work on them.
func (s *stage) lostAt(list []sent, sound []*target) map[string]int {
	begun := make(map[string]time.Time)
	for _, t := range sound {
		for _, r := range t.taken() {
			begun[r.id] = r.at
		}
	}
	lost := make(map[string]int)
	for _, r := range list {
		if at, ok := begun[r.id]; ok && r.status == 0 && r.kept {
			s.note("lost: %s, sent to %s at %.3f s, begun by a sound target at %.3f s, no answer", r.id, r.machine, s.since(r.at), s.since(at))
			lost[r.machine]++
		}
	}
	return lost
}

// spoilAnswer answers with bytes that form no answer, at the rate of a link, until the node closes the connection.
func spoilAnswer(m *machine, w http.ResponseWriter) bool {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	bytes := make([]byte, piece)
	for i := range bytes {
		bytes[i] = 'a' + byte(i%26)
	}
	total, start := 0, time.Now()
	for {
		n, err := conn.Write(bytes)
		total += n
		if err != nil {
			m.s.note("target at %s: wrote %d MB that form no answer in %d ms", m.name, total>>20, time.Since(start).Milliseconds())
			return true
		}
		time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / rate)))
	}
}

// limitMemory ends the machine's process when it needs more memory than the machine has, and starts it again, as the
// platform does.
func (m *machine) limitMemory(stop <-chan struct{}, ends *atomic.Int64) {
	for {
		pid, _ := m.pid()
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := resident(pid)
		if used <= memoryMB {
			continue
		}
		ends.Add(1)
		m.s.note("%s: its process holds %d MB of %d and is ended", m.name, used, memoryMB)
		m.stop()
		time.Sleep(restartDelay)
		if err := m.launch(); err != nil {
			m.s.note("%s cannot be started: %v", m.name, err)
			return
		}
	}
}
