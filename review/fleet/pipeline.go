package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Pipeline is a client that sends several safe requests on a kept connection before the first has been answered.
type Pipeline struct {
	// Machine is where it sends them.
	Machine *Machine

	path  string
	limit time.Duration
	name  string
	depth int
	r     *Record

	mu     sync.Mutex
	closed [][]string
	sent   int
	served int
}

// NewPipeline returns a client that sends depth requests at once; its name begins their ids, and limit is their time limit.
func NewPipeline(m *Machine, name, path string, depth int, limit time.Duration, r *Record) *Pipeline {
	return &Pipeline{Machine: m, name: name, path: path, depth: depth, limit: limit, r: r}
}

// Run sends requests, a burst each interval, until the context ends.
func (p *Pipeline) Run(ctx context.Context, interval time.Duration) {
	for i := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", p.Machine.Outbound(), time.Second)
		if err != nil {
			time.Sleep(interval)
			continue
		}
		r := bufio.NewReader(c)
		for ctx.Err() == nil {
			i++
			if !p.burst(c, r, i) {
				break
			}
			time.Sleep(interval)
		}
		_ = c.Close()
	}
}

// burst sends requests and reads their answers; it returns false once the connection is of no use any more.
func (p *Pipeline) burst(c net.Conn, r *bufio.Reader, n int) bool {
	var text strings.Builder
	ids := make([]string, 0, p.depth)
	for k := range p.depth {
		id := fmt.Sprintf("%s-%05d-%d", p.name, n, k+1)
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", p.path, id, Host, headerID, id, headerDeadline, p.limit.Milliseconds())
	}
	p.mu.Lock()
	p.sent += len(ids)
	p.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(2 * p.limit))
	if _, err := io.WriteString(c, text.String()); err != nil {
		return false
	}
	for k, id := range ids {
		resp, err := http.ReadResponse(r, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			p.r.Add("client at %s: connection closed in the answer to %s, without one to %v: %v", p.Machine.Name, id, ids[k+1:], err)
			p.mu.Lock()
			p.closed = append(p.closed, ids[k:])
			p.mu.Unlock()
			return false
		}
		p.r.Add("client at %s: %s answered with %d %q", p.Machine.Name, id, resp.StatusCode, body)
		if resp.StatusCode == http.StatusOK {
			p.mu.Lock()
			p.served++
			p.mu.Unlock()
		}
		if resp.Close {
			return false
		}
	}
	return true
}

// Closed returns the requests that had no whole answer when their connection was closed, for each such connection: first the one
// whose answer broke off, then those behind it.
func (p *Pipeline) Closed() [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([][]string(nil), p.closed...)
}

// Counts returns how many requests were sent and how many answered with success.
func (p *Pipeline) Counts() (sent, served int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent, p.served
}
