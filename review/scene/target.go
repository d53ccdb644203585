package scene

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The header fields of the users' pages that the stand-ins use.
const (
	headerID        = "X-Lynxplank-Request-Id"
	headerDeadline  = "X-Lynxplank-Deadline-Ms"
	headerExpected  = "X-Lynxplank-Expected-Instance"
	headerInstance  = "X-Lynxplank-Instance-Id"
	headerSignature = "X-Lynxplank-Response-Signature"
	headerNotRun    = "X-Lynxplank-Not-Executed"
	headerLoad      = "X-Lynxplank-Server-Load"
)

const (
	slots        = 4
	queueLimit   = 36
	beatInterval = 1500 * time.Millisecond
	ackLimit     = time.Second
)

// work is one piece of work that a target has begun.
type work struct {
	id, path string
	at       time.Time
}

// target is one boot of a target: it serves at its machine's address and sends heartbeats to the node beside it.
type target struct {
	m     *machine
	id    string
	born  int64
	takes time.Duration
	// spoil, unless nil, may answer in place of the target; it returns false if it did not.
	spoil func(w http.ResponseWriter, number int) bool

	server *http.Server
	slot   chan struct{}
	gone   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	state    string
	sequence int
	queued   int
	begun    int
	runs     []work
}

// startTarget starts a boot of a target. born is 0 on a deployment where targets do not say when they started.
func startTarget(m *machine, id string, born int64, takes time.Duration, spoil func(w http.ResponseWriter, number int) bool) (*target, error) {
	t := &target{
		m: m, id: id, born: born, takes: takes, spoil: spoil, slot: make(chan struct{}, slots), gone: make(chan struct{}), state: "ready",
	}
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(l) }()
	go t.beats()
	m.s.note("target %s starts at %s, born %d", id, m.name, born)
	return t, nil
}

// end ends the boot at once, as a crash does; it says nothing.
func (t *target) end() {
	t.once.Do(func() {
		close(t.gone)
		_ = t.server.Close()
		t.m.s.note("target %s at %s has ended", t.id, t.m.name)
	})
}

// beats sends a heartbeat at each interval.
func (t *target) beats() {
	for {
		_, _ = t.beat()
		select {
		case <-t.gone:
			return
		case <-time.After(beatInterval):
		}
	}
}

// beat sends one heartbeat to the node beside the target and returns whether it was acknowledged in time.
func (t *target) beat() (acknowledged bool, at time.Time) {
	t.mu.Lock()
	t.sequence++
	body := map[string]any{
		"service": t.m.service, "address": t.m.app, "zone": "z1", "version": "v1", "slots": slots, "state": t.state, "coldRemainingS": 0, "callSeq": t.sequence,
	}
	if t.born != 0 {
		body["born"] = t.born
	}
	t.mu.Unlock()
	return t.tell("heartbeat", body)
}

// leave says that the target leaves.
func (t *target) leave() {
	acknowledged, _ := t.tell("leave", map[string]any{"born": t.born})
	t.m.s.note("target %s at %s: leaving is acknowledged: %v", t.id, t.m.name, acknowledged)
}

// tell makes a call to the node beside the target and returns whether it was acknowledged in time.
func (t *target) tell(call string, body map[string]any) (acknowledged bool, at time.Time) {
	text, err := json.Marshal(body)
	if err != nil {
		return false, time.Time{}
	}
	client := http.Client{Timeout: ackLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/-/instances/%s/%s", t.m.control, t.id, call), "application/json", bytes.NewReader(text))
	if err != nil {
		return false, time.Time{}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2, time.Now()
}

// drain says that the target drains until that is acknowledged, and returns when it was.
func (t *target) drain(limit time.Duration) (at time.Time, acknowledged bool) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if acknowledged, at = t.beat(); acknowledged {
			t.m.s.note("target %s at %s: draining is acknowledged", t.id, t.m.name)
			return at, true
		}
	}
	return time.Time{}, false
}

// taken returns the work that the target has begun.
func (t *target) taken() []work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]work(nil), t.runs...)
}

// ServeHTTP implements http.Handler, as the users' pages say of a target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		t.serveHealth(w)
		return
	}
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != t.id {
		w.Header().Set(headerInstance, t.id)
		w.Header().Set(headerID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	number, ok := t.begin(r, id)
	if !ok {
		w.Header().Set(headerID, id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(t.takes):
	case <-r.Context().Done():
	}
	load := t.finish()
	if t.spoil != nil && t.spoil(w, number) {
		return
	}
	w.Header().Set(headerID, id)
	w.Header().Set(headerSignature, fmt.Sprintf("%s.%d", t.id, number))
	w.Header().Set(headerLoad, load)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", t.id, id)
}

func (t *target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(headerInstance, t.id)
	if t.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// begin waits for a slot and records the work; false if the queue is full or the caller left meanwhile.
func (t *target) begin(r *http.Request, id string) (number int, ok bool) {
	t.mu.Lock()
	if t.queued >= queueLimit {
		t.mu.Unlock()
		return 0, false
	}
	t.queued++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.queued--
		t.mu.Unlock()
	}()
	select {
	case t.slot <- struct{}{}:
	case <-r.Context().Done():
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun++
	t.runs = append(t.runs, work{id: id, path: r.URL.Path, at: time.Now()})
	return t.begun, true
}

// finish frees the slot and returns the load.
func (t *target) finish() string {
	<-t.slot
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(t.slot), t.queued, slots)
}
