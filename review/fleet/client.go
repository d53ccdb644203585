package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sent is a request that a client has sent, with how it ended.
type Sent struct {
	// ID is the request's, Machine where it was sent.
	ID      string
	Machine *Machine
	// At is when it was sent, After how long it took.
	At    time.Time
	After time.Duration
	// Status is the answer's, 0 for none; Signature is the target's, Body the answer's body.
	Status          int
	Signature, Body string
	// Err is why there is no answer.
	Err error
}

// Client sends requests on kept connections.
type Client struct {
	// Machine is where it sends them.
	Machine *Machine

	method, path string
	limit        time.Duration
	name         string
	record       *Record
	transport    http.Transport

	mu   sync.Mutex
	sent []Sent
}

// NewClient returns a client of a machine; its name begins the ids of its requests, and limit is their time limit.
func NewClient(m *Machine, name, method, path string, limit time.Duration, r *Record) *Client {
	return &Client{Machine: m, method: method, path: path, limit: limit, record: r, name: name}
}

// Run sends a request each interval until the context ends, and waits for the answers.
func (c *Client) Run(ctx context.Context, interval time.Duration) {
	var requests sync.WaitGroup
	defer requests.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			requests.Go(func() { c.send(fmt.Sprintf("%s-%05d", c.name, i)) })
		}
	}
}

// send sends one request.
func (c *Client) send(id string) {
	s := Sent{ID: id, Machine: c.Machine, At: time.Now()}
	c.exchange(&s)
	s.After = time.Since(s.At)
	c.record.Add("client at %s sent %s %s%s %v ago: status %d, signature %q, body %q, error %v", c.Machine.Name, c.method, c.path, id,
		s.After.Round(time.Millisecond), s.Status, s.Signature, s.Body, s.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

func (c *Client) exchange(s *Sent) {
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	var body io.Reader
	if c.method != http.MethodGet {
		// A body that cannot be rewound keeps the transport from sending the request again by itself.
		body = io.MultiReader(strings.NewReader("case 4711"))
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.Machine.Outbound()+c.path+s.ID, body)
	if err != nil {
		s.Err = err
		return
	}
	req.Host = Host
	req.Header.Set(headerID, s.ID)
	req.Header.Set(headerDeadline, fmt.Sprint(c.limit.Milliseconds()))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		s.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	s.Status, s.Signature, s.Body, s.Err = resp.StatusCode, resp.Header.Get(headerSignature), string(text), err
}

// Sent returns what was sent and has ended.
func (c *Client) Sent() []Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Sent(nil), c.sent...)
}
