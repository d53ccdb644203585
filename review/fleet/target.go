package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The header fields of the protocol that a target reads and writes.
const (
	headerID          = "X-Lynxplank-Request-Id"
	headerDeadline    = "X-Lynxplank-Deadline-Ms"
	headerExpected    = "X-Lynxplank-Expected-Instance"
	headerSignature   = "X-Lynxplank-Response-Signature"
	headerNotExecuted = "X-Lynxplank-Not-Executed"
	headerInstance    = "X-Lynxplank-Instance-Id"
	headerLoad        = "X-Lynxplank-Server-Load"
)

const (
	slots      = 4
	mostQueued = 36
	idleClose  = 10 * time.Second
	// lateAfter is when a late second answer is sent if no request has come by then whose place it can take.
	lateAfter  = time.Second
	bitsOfByte = 8
)

// Arrival is a request that a target has begun to run.
type Arrival struct {
	// ID is the request's, At when it came.
	ID string
	At time.Time
}

// Target is a target beside a machine's node. It speaks HTTP/1.1 on its own, so that it can send what a faulty one sends.
type Target struct {
	// ID names its boot.
	ID string

	machine  *Machine
	record   *Record
	listener net.Listener
	slots    chan struct{}
	stopBeat chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	work     time.Duration
	extra    float64
	shed     float64
	cut      float64
	sequence uint64
	leaving  bool
	waiting  int
	runs     []Arrival
	conns    map[net.Conn]struct{}
}

// StartTarget starts a target beside the machine's node. It works at a request for half to one and a half of the given time.
func StartTarget(m *Machine, id string, work time.Duration, seed uint64, r *Record) (*Target, error) {
	t := &Target{
		ID: id, machine: m, record: r, slots: make(chan struct{}, slots), stopBeat: make(chan struct{}), work: work,
		random: rand.New(rand.NewPCG(seed, seed)), conns: make(map[net.Conn]struct{}), //nolint:gosec // no secret
	}
	var err error
	if t.listener, err = net.Listen("tcp", m.App()); err != nil {
		return nil, err
	}
	go t.accept()
	go t.beat()
	return t, nil
}

// End ends the target: its connections break, and its address takes none.
func (t *Target) End() {
	t.StopBeats()
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

// SendExtra has the target send, also, a second answer after a share of its answers: late, in the place of the answer due
// next, and spoiled, one bit of it being wrong. A share of 0 ends that.
func (t *Target) SendExtra(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extra = share
}

// Shed has the target refuse a share of its requests, unrun. A share of 0 ends that.
func (t *Target) Shed(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed = share
}

// CutUnframed has the target send a share of its answers without a length, and break them off in the middle by a reset. A share
// of 0 ends that.
func (t *Target) CutUnframed(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = share
}

// cuts reports whether the target breaks off the next answer.
func (t *Target) cuts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.cut
}

// cutOff sends the first half of an answer without a length and resets the connection.
func (t *Target) cutOff(c net.Conn, answer []byte) {
	head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
	if i := strings.Index(head, "\r\nContent-Length"); i >= 0 {
		head = head[:i]
	}
	t.record.Add("target %s breaks off an answer: %q", t.ID, head)
	_, _ = io.WriteString(c, head+"\r\nConnection: close\r\n\r\n"+body[:len(body)/2])
	time.Sleep(resetAfter)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// resetAfter is the time between the first half of an answer and the reset.
const resetAfter = 20 * time.Millisecond

// sheds reports whether the target refuses the next request.
func (t *Target) sheds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.shed
}

// Runs returns what the target has begun to run.
func (t *Target) Runs() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.runs...)
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		go t.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (t *Target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		next := watch(r)
		answer, closes := t.answer(req, next)
		if answer == nil {
			return
		}
		if t.cuts() {
			t.cutOff(c, answer)
			return
		}
		if _, err := c.Write(answer); err != nil || closes {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		if !t.awaitNext(c, next, t.extraOf(answer)) {
			return
		}
	}
}

// awaitNext waits for the next request of a connection, and sends a late second answer in the place of the answer to it, or
// after a while. It returns false if the connection closes.
func (t *Target) awaitNext(c net.Conn, next *watched, late []byte) bool {
	if late != nil {
		select {
		case <-next.come:
		case <-next.closed:
		case <-time.After(lateAfter):
		}
		t.record.Add("target %s sends %q after a whole answer", t.ID, late)
		if _, err := c.Write(late); err != nil {
			return false
		}
	}
	select {
	case <-next.come:
		return true
	case <-next.closed:
		return false
	}
}

// extraOf returns the spoiled second answer that follows an answer, nil for none.
func (t *Target) extraOf(answer []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.random.Float64() >= t.extra {
		return nil
	}
	spoiled := bytes.Clone(answer)
	spoiled[t.random.IntN(len(spoiled))] ^= 1 << t.random.IntN(bitsOfByte)
	return spoiled
}

// watched tells what happens on a connection while a request is in hand: come is closed with the first byte of the next
// request, closed when the connection closes.
type watched struct{ come, closed chan struct{} }

func watch(r *bufio.Reader) *watched {
	w := &watched{come: make(chan struct{}), closed: make(chan struct{})}
	go func() {
		if _, err := r.Peek(1); err != nil {
			close(w.closed)
			return
		}
		close(w.come)
	}()
	return w
}

// answer returns the answer to a request, nil if its connection closes meanwhile, and whether it is the connection's last.
func (t *Target) answer(r *http.Request, next *watched) (answer []byte, closes bool) {
	id := r.Header.Get(headerID)
	if r.URL.Path == healthPath {
		return t.health(), true
	}
	switch expected := r.Header.Get(headerExpected); {
	case id == "":
		return t.write(http.StatusBadRequest, id, headerNotExecuted+": 1\r\n", ""), false
	case expected != "" && expected != t.ID:
		return t.write(http.StatusMisdirectedRequest, id, headerNotExecuted+": 1\r\n"+headerInstance+": "+t.ID+"\r\n", ""), false
	case t.sheds() || !t.takeSlot(next.closed):
		return t.write(http.StatusServiceUnavailable, id, headerNotExecuted+": 1\r\n", ""), false
	}
	defer func() { <-t.slots }()
	return t.run(r, id, next.closed)
}

// run runs a request and returns its answer, nil if its connection closes before.
func (t *Target) run(r *http.Request, id string, closed <-chan struct{}) (answer []byte, closes bool) {
	t.mu.Lock()
	t.runs = append(t.runs, Arrival{ID: id, At: time.Now()})
	leaving := t.leaving
	work := time.Duration((0.5 + t.random.Float64()) * float64(t.work))
	t.mu.Unlock()
	t.record.Add("target %s runs %s, leaving %v", t.ID, id, leaving)
	status := http.StatusOK
	ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if left := time.Duration(ms * float64(time.Millisecond)); err == nil && left < work {
		work, status = left, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-closed:
		return nil, true
	}
	fields := headerSignature + ": " + t.ID + "." + id + "\r\n"
	if leaving {
		fields += "Connection: close\r\n"
	}
	return t.write(status, id, fields, Body(t.ID, id)), leaving
}

// Body is a target's whole answer to a request.
func Body(target, id string) string { return "answer of " + target + " to " + id + ".\n" }

func (t *Target) health() []byte {
	t.mu.Lock()
	status := http.StatusOK
	if t.leaving {
		status = http.StatusServiceUnavailable
	}
	t.mu.Unlock()
	return t.write(status, "", headerInstance+": "+t.ID+"\r\nConnection: close\r\n", "")
}

// write returns the bytes of an answer.
func (t *Target) write(status int, id, fields, body string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerID, id)
	}
	fmt.Fprintf(&b, "%s%s: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", fields, headerLoad, len(t.slots), t.waiting, slots, len(body), body)
	return b.Bytes()
}

// takeSlot waits for a slot; it returns false if too many requests wait, or if the request's connection closes.
func (t *Target) takeSlot(closed <-chan struct{}) bool {
	t.mu.Lock()
	full := t.waiting >= mostQueued
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.waiting--
	}()
	if full {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-closed:
		return false
	}
}
