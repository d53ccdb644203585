package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// Limits of the connections to endpoints.
const (
	// connectTimeout bounds a new connection to an endpoint beside this node, which takes about a millisecond.
	connectTimeout = time.Second
	// defaultIdle is how long a kept connection is used again when the endpoint does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what the endpoint says: its own clock may run out while a request is on its way.
	idleMargin = time.Second
	// mostIdle bounds the connections kept for one endpoint.
	mostIdle = 64
	// mostForeign is how many answers to other requests are passed over before the connection is given up.
	mostForeign = 8
	// atOnce is the largest body that is written before the answer is looked for.
	atOnce = 8 << 10
	// mostInformational is how many provisional answers (1xx) are passed over.
	mostInformational = 8
)

// Request is one request to an endpoint.
type Request struct {
	// Address is the endpoint's IP and port.
	Address string
	// Method, Target and Host are sent as they are.
	Method, Target, Host string
	// Header holds the fields besides the body's length and the host.
	Header http.Header
	// Body is the whole body; Length is -1 when it is only known at its end.
	Body   io.Reader
	Length int64
	// Fresh asks for a connection that has not been idle for long: a kept one may be dead, which a request that must
	// not repeat does not survive.
	Fresh time.Duration
	// Mine tells whether an answer belongs to the request.
	Mine func(status int, h http.Header) bool
}

// Response is an endpoint's answer; Close must follow.
type Response struct {
	*http.Response
	conn  *conn
	pool  *Pool
	keep  bool
	stop  func() bool
	sent  chan error
	whole bool
}

// Pool keeps connections to endpoints; it is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// Do sends a request and returns the start of its answer. It fails with EndpointUnreachable when the request was provably
// not handed over, and with EndpointCut or Canceled when it may have been.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, fault.Wrap(err, fault.EndpointUnreachable, r.Address, "endpoint takes no connection")
	}
	resp := &Response{conn: c, pool: p, keep: true}
	resp.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := resp.send(r); err != nil {
		resp.discard()
		return nil, cut(ctx, r, err)
	}
	if err := resp.read(r); err != nil {
		resp.discard()
		return nil, cut(ctx, r, err)
	}
	return resp, nil
}

func cut(ctx context.Context, r Request, err error) error {
	if ctx.Err() == context.Canceled {
		return fault.Wrap(err, fault.Canceled, r.Address, "request was broken off")
	}
	if ctx.Err() != nil {
		return fault.Wrap(err, fault.DeadlineExceeded, r.Address, "endpoint did not answer in time")
	}
	return fault.Wrap(err, fault.EndpointCut, r.Address, "endpoint broke off")
}

// take returns a kept connection that is still good, else a new one.
func (p *Pool) take(ctx context.Context, r Request) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(r.Address)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleLimit && (r.Fresh == 0 || idle < r.Fresh) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, r.Address), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the connections that carry nothing.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// send writes the request; a long body goes on while the answer is read.
func (resp *Response) send(r Request) error {
	var b bytes.Buffer
	writeHead(&b, r)
	if r.Length >= 0 && r.Length <= atOnce {
		if r.Length > 0 {
			if _, err := io.CopyN(&b, r.Body, r.Length); err != nil {
				return err
			}
		}
		_, err := resp.conn.Write(b.Bytes())
		return err
	}
	if _, err := resp.conn.Write(b.Bytes()); err != nil {
		return err
	}
	resp.sent = make(chan error, 1)
	go func() { resp.sent <- writeBody(resp.conn, r) }()
	return nil
}

func writeHead(b *bytes.Buffer, r Request) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || bodied(r.Method):
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
}

// bodied tells whether a request of the method states its length even without a body.
func bodied(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeBody(w io.Writer, r Request) error {
	if r.Length >= 0 {
		_, err := io.CopyN(w, r.Body, r.Length)
		return err
	}
	buf := make([]byte, atOnce)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			chunk := strconv.FormatInt(int64(n), 16) + "\r\n" + string(buf[:n]) + "\r\n"
			if _, werr := io.WriteString(w, chunk); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// read finds the answer to the request; whole answers to other requests before it are passed over.
func (resp *Response) read(r Request) error {
	info := 0
	for foreign := 0; foreign <= mostForeign; {
		answer, err := http.ReadResponse(resp.conn.r, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if answer.StatusCode < http.StatusOK {
			if info++; info > mostInformational {
				break
			}
			continue
		}
		if r.Mine == nil || r.Mine(answer.StatusCode, answer.Header) {
			resp.Response = answer
			return nil
		}
		foreign++
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
			return io.ErrUnexpectedEOF
		}
	}
	return fault.New(fault.EndpointCut, r.Address, "endpoint answers other requests only")
}

// Read reads the body; io.EOF comes only at the end of a whole one.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.Body.Read(b)
	if err == io.EOF {
		resp.whole = true
	}
	return n, err
}

// Close keeps the connection for another request if the exchange has ended as it should.
func (resp *Response) Close() {
	if !resp.stop() || !resp.whole || resp.Response.Close || !resp.bodySent() || resp.conn.r.Buffered() > 0 {
		resp.discard()
		return
	}
	resp.conn.idleLimit = idleLimit(resp.Header)
	if resp.conn.idleLimit <= 0 {
		resp.discard()
		return
	}
	resp.pool.put(resp.conn)
}

// bodySent tells whether the whole request was written. A connection on which the rest of a body is due carries no
// other request: its bytes would be taken for that rest.
func (resp *Response) bodySent() bool {
	if resp.sent == nil {
		return true
	}
	select {
	case err := <-resp.sent:
		return err == nil
	default:
		return false
	}
}

func (resp *Response) discard() {
	resp.stop()
	_ = resp.conn.Close()
}

// idleLimit is how long the endpoint keeps an idle connection, less a margin.
func idleLimit(h http.Header) time.Duration {
	for word := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
