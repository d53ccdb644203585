package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/follow"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/table"
)

// call is what the caller asks for, as the contract reads it.
type call struct {
	id         string
	route      table.Entry[table.Route]
	service    table.ServiceView
	customer   string
	repeatable bool
	timeout    time.Duration
	key        string
	attempt    uint32
	method     string
	target     string
	host       string
	headers    []*peerpb.Header
	revision   uint64
}

const (
	anonymous     = "anonymous"
	maxKeyLength  = 256
	maxNameLength = 128
)

// parse reads the contract's headers; the failure says which one is wrong.
func (g *Ingress) parse(snap *follow.Snapshot, r *http.Request) (call, *fault.Error) {
	c := call{
		id: uuid.NewString(), method: r.Method, target: r.URL.RequestURI(), host: r.Host,
		revision: snap.State.Revision(), customer: r.Header.Get(header.Customer),
	}
	if !strings.HasPrefix(c.target, "/") {
		return c, fault.New(fault.BadRequest, "target", "want a target that starts with /")
	}
	if c.customer == "" {
		c.customer = anonymous
	}
	if len(c.customer) > maxNameLength {
		return c, fault.New(fault.BadRequest, header.Customer, header.Customer+" is too long")
	}
	if bad := c.findRoute(snap.State, r); bad != nil {
		return c, bad
	}
	if bad := c.readDeadline(r); bad != nil {
		return c, bad
	}
	if bad := c.readRepeatable(r); bad != nil {
		return c, bad
	}
	if bad := c.readKey(r); bad != nil {
		return c, bad
	}
	c.headers = header.FromHTTP(r.Header)
	c.headers = append(c.headers, &peerpb.Header{Name: "X-Forwarded-For", Value: clientIP(r)})
	return c, nil
}

func clientIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (c *call) findRoute(s *table.State, r *http.Request) *fault.Error {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	route, ok := s.Match(host, r.URL.Path)
	if !ok {
		return fault.New(fault.UnknownRoute, "", "no route for this host and path")
	}
	c.route = route
	c.service, ok = s.Service(route.Value.Service)
	if !ok {
		return fault.New(fault.UnknownRoute, "", "the route's service is not in the table")
	}
	return nil
}

// readDeadline takes the shorter of the caller's deadline and the row's timeout.
func (c *call) readDeadline(r *http.Request) *fault.Error {
	c.timeout = time.Duration(c.service.Value.Timeout)
	if t := time.Duration(c.route.Value.Timeout); t > 0 {
		c.timeout = t
	}
	text := r.Header.Get(header.Deadline)
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fault.New(fault.BadDeadline, header.Deadline, `want a time left with its unit, such as "1500ms"`)
	}
	c.timeout = min(c.timeout, d)
	return nil
}

// readRepeatable decides whether the request may run more than once. Whoever says no wins: the header or the row;
// then whoever says yes; then the method.
func (c *call) readRepeatable(r *http.Request) *fault.Error {
	word := r.Header.Get(header.Repeatable)
	if word != "" && word != "yes" && word != "no" {
		return fault.New(fault.BadRequest, header.Repeatable, header.Repeatable+` wants "yes" or "no"`)
	}
	row := c.route.Value.Repeatable
	switch {
	case word == "no" || row == table.Never:
		c.repeatable = false
	case word == "yes" || row == table.Always:
		c.repeatable = true
	default:
		c.repeatable = safeMethod(r.Method)
	}
	return nil
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (c *call) readKey(r *http.Request) *fault.Error {
	c.key = r.Header.Get(header.IdempotencyKey)
	if len(c.key) > maxKeyLength {
		return fault.New(fault.BadRequest, header.IdempotencyKey, header.IdempotencyKey+" is too long")
	}
	text := r.Header.Get(header.Attempt)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return fault.New(fault.BadRequest, header.Attempt, header.Attempt+" wants a whole number from 1")
	}
	c.attempt = uint32(n)
	return nil
}

// keyed tells whether the request runs under an idempotency key.
func (c *call) keyed() bool { return !c.repeatable && c.key != "" }

func (c *call) scope() string { return c.customer + "\x00" + c.service.Key }

// fingerprint tells the request from another with the same key.
func (c *call) fingerprint(body *requestBody) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.method + "\x00" + c.target + "\x00")
	_, _ = d.Write(body.head)
	return d.Sum64()
}

// requestBody is a request's body: whole in memory when it is small, else its start and the rest still to come.
type requestBody struct {
	head   []byte
	rest   io.Reader
	length int64
}

// replayable tells whether the whole body can be sent again.
func (b *requestBody) replayable() bool { return b.rest == nil }

func (b *requestBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.head)
	}
	return io.MultiReader(bytes.NewReader(b.head), b.rest)
}

// takeBody reads the body, or its start if it is large; a body that comes slower than the request's time is broken off.
func (g *Ingress) takeBody(w http.ResponseWriter, r *http.Request, limit time.Duration) (*requestBody, *fault.Error) {
	if r.ContentLength > g.cfg.BodyBytes {
		return nil, fault.New(fault.BodyTooLarge, "", "the body is larger than "+strconv.FormatInt(g.cfg.BodyBytes, 10)+" bytes")
	}
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
	limited := http.MaxBytesReader(w, r.Body, g.cfg.BodyBytes)
	head, err := io.ReadAll(io.LimitReader(limited, g.cfg.ReplayBytes+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.BodyTooLarge, "", "the body is larger than "+strconv.FormatInt(g.cfg.BodyBytes, 10)+" bytes")
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "", "the body broke off")
	}
	if int64(len(head)) <= g.cfg.ReplayBytes {
		return &requestBody{head: head, length: int64(len(head))}, nil
	}
	return &requestBody{head: head, rest: limited, length: r.ContentLength}, nil
}
