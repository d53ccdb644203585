package scene

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// sent is one client's request with its answer; a status of 0 stands for none.
type sent struct {
	id, machine, path string
	at                time.Time
	took              time.Duration
	status            int
	problem           string
	// kept is set if the request was sent on a connection that had been used before.
	kept bool
}

// clients send requests to the nodes of machines at a steady rate, each on one of their machine's kept connections.
type clients struct {
	s        *stage
	machines []*machine
	method   string
	path     string
	limit    time.Duration
	client   *http.Client

	mu   sync.Mutex
	list []sent
	wait sync.WaitGroup
}

func newClients(s *stage, machines []*machine, method, path string, limit time.Duration) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 10 * time.Second}
	return &clients{s: s, machines: machines, method: method, path: path, limit: limit, client: &http.Client{Transport: transport}}
}

// send sends requests to the machines in turn until stop is closed, then waits for the answers.
func (c *clients) send(interval time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	defer c.wait.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			c.wait.Go(func() { c.sendOne(c.machines[i%len(c.machines)], fmt.Sprintf("%s%05d", strings.ToLower(c.method), i)) })
		}
	}
}

func (c *clients) sendOne(m *machine, id string) {
	r := sent{id: id, machine: m.name, path: c.path, at: time.Now()}
	defer func() {
		r.took = time.Since(r.at)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.list = append(c.list, r)
	}()
	var body io.Reader
	if c.method != http.MethodGet {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequest(c.method, "http://"+m.outbound+c.path+id, body)
	if err != nil {
		r.problem = err.Error()
		return
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, fmt.Sprint(c.limit.Milliseconds()))
	client := *c.client
	client.Timeout = c.limit
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.kept = i.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		r.problem = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		r.problem = "answer broke off: " + err.Error()
		return
	}
	r.status = resp.StatusCode
}

// done returns what was sent.
func (c *clients) done() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.list...)
}

// write records what was sent and answered.
func (c *clients) write() {
	for _, r := range c.done() {
		answer := fmt.Sprint(r.status)
		if r.status == 0 {
			answer = "no answer: " + r.problem
		}
		c.s.note("client request %s, sent at %.3f s to %s: %s after %d ms", r.id, c.s.since(r.at), r.machine, answer, r.took.Milliseconds())
	}
}
