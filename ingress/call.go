package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// routeRanks is the number of route priorities within one customer priority, customerRanks the number of customer
	// priorities.
	routeRanks    = 1 << 10
	customerRanks = 1 << 20
)

// call is a caller's request, as the contract decodes it.
type call struct {
	id       string
	route    route
	service  table.ServiceView
	customer string
	// regions are the regions in which the request's data may be.
	regions region.Set
	// token is the customer key that the caller presented; hasCustomerKey is set when it identifies the customer.
	token          contract.Token
	hasCustomerKey bool
	// usesCustomerKeys is set where callers must present a customer key.
	usesCustomerKeys bool
	repeatable       bool
	// fromRetry is set for a call made by work that was itself a retry. fromRetryChance is the probability of that
	// where the work that made the call is not known.
	fromRetry       bool
	fromRetryChance float64
	// nested is set for a call that the endpoint beside this node makes while it handles another request, if the setting
	// is on; parent is the id of that request, "" if only the route tells that it is such a call.
	// usefulUntil is when an answer to it loses most of its value for that request, zero if that is not known.
	nested      bool
	parent      string
	usefulUntil time.Time
	timeout     time.Duration
	// fingerprint identifies what the request asks for; it is the same each time the request is sent.
	fingerprint poison.Fingerprint
	key         string
	attempt     uint32
	method      string
	target      string
	host        string
	path        string
	headers     []*peerpb.Header
	revision    uint64
	config      uint64
}

// parse decodes a caller's request and finds its route, service and customer. The error's detail is sent to the caller.
func (g *Ingress) parse(snap *configsync.Snapshot, r *http.Request) (call, *fault.Error) {
	decoded, failure := g.cfg.Contract.Call(r.Header)
	c := call{
		id: decoded.ID, method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.EscapedPath(), customer: decoded.Customer, token: decoded.Token,
		key: decoded.Key, attempt: decoded.Attempt, revision: snap.State.Revision(),
		config: snap.State.Revisions()[table.SourceConfig],
	}
	if failure != nil {
		return c, failure
	}
	if !strings.HasPrefix(c.target, "/") {
		return c, fault.New(fault.BadRequest, "target", "want a target that starts with /")
	}
	if failure := g.findRoute(&c, snap.State); failure != nil {
		return c, failure
	}
	if c.customer, c.hasCustomerKey, failure = c.findCustomer(snap.State); failure != nil {
		return c, failure
	}
	c.regions = snap.State.RegionsFor(c.route.Value, c.customer)
	c.timeout = c.route.timeout(c.service, decoded.Timeout)
	c.repeatable = c.route.repeatable(r.Method, decoded.Repeatable)
	g.findOrigin(&c)
	c.usesCustomerKeys = snap.State.KeysRequired()
	return c, nil
}

// forwardHeaders sets the fields that are passed on to the endpoint. A request that is refused early needs none.
func (g *Ingress) forwardHeaders(c *call, r *http.Request) {
	c.headers = g.cfg.Contract.Forward(r.Header, contract.Origin{Address: clientIP(r), UsesCustomerKeys: c.usesCustomerKeys})
}

// findCustomer returns the customer whose key the caller presented, if callers must present one. hasKey is false for a
// caller of an open route that presented no valid key; such a request belongs to no customer.
func (c *call) findCustomer(s *table.State) (customer string, hasKey bool, failure *fault.Error) {
	if !s.KeysRequired() {
		return c.customer, false, nil
	}
	if c.token.Key != "" {
		if customer, ok := s.CustomerByKey(table.DigestKey(c.token.Key)); ok {
			if customer.Value.Closed {
				return customer.Key, true, fault.New(fault.Closed, "customer "+customer.Key, "the customer is closed")
			}
			return customer.Key, true, nil
		}
	}
	switch {
	case bool(c.route.Value.Open):
		return "", false, nil
	case c.token.Borne:
		return "", false, fault.New(fault.UnknownToken, "", "no customer holds this key")
	}
	return "", false, fault.New(fault.UnknownToken, "", "want a customer's key")
}

// rank returns the request's priority in an endpoint's queue: by its customer first, then by its route. 0 is served
// first.
func (c *call) rank(s *table.State) uint32 {
	rank := min(uint32(c.route.Value.Priority), routeRanks-1)
	if c.hasCustomerKey {
		customer, _ := s.Customer(c.customer)
		rank += min(uint32(customer.Value.Priority), customerRanks-1) * routeRanks
	}
	return rank
}

// findOrigin determines whether the request is a caller's own or a call made by the endpoint beside this node: from the
// in-flight work that the request's id names, or from the route's arrivals if there is none.
func (g *Ingress) findOrigin(c *call) {
	parent := contract.ParentOf(c.id)
	work := g.local.Work(parent)
	routeOrigin := g.routeStats.countArrival(c.route.Key, work.Total == 0)
	c.nested = g.cfg.NestedFirst && (work.ForRequest || routeOrigin == fromEndpoint && g.routeTellsNested(c))
	if work.ForRequest {
		c.fromRetry = work.RetryShare > 0
		if c.nested {
			c.parent, c.usefulUntil = parent, work.UsefulUntil
		}
		return
	}
	if routeOrigin == fromEndpoint {
		c.fromRetryChance = work.RetryShare
	}
}

func clientIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// matchCall returns the route that matches a call's host and path.
func matchCall(s *table.State, c *call) (table.Entry[table.Route], bool) {
	host := c.host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return s.Match(host, c.path)
}

func (g *Ingress) findRoute(c *call, s *table.State) *fault.Error {
	row, ok := matchCall(s, c)
	if !ok {
		return fault.New(fault.UnknownRoute, "", "no route for this host and path")
	}
	c.route = route{row}
	if row.Value.Closed {
		return fault.New(fault.Closed, "route "+row.Key, "the route is closed")
	}
	name := row.Value.Service
	if parts := row.Value.Split.Parts(); len(parts) > 0 {
		name = g.splits.choose(row.Key, parts)
	}
	c.service, ok = s.Service(name)
	if !ok {
		return fault.New(fault.Closed, "route "+row.Key, "the route's service is not in the table")
	}
	return nil
}

// route is the table row that a request is routed by.
type route struct {
	table.Entry[table.Route]
}

// timeout returns the route's timeout, or the service's if the route has none, limited by the caller's.
func (r route) timeout(s table.ServiceView, caller time.Duration) time.Duration {
	limit := time.Duration(s.Value.Timeout)
	if t := time.Duration(r.Value.Timeout); t > 0 {
		limit = t
	}
	if caller > 0 {
		limit = min(limit, caller)
	}
	return limit
}

// repeatable reports whether the request may run more than once. A "no" from the caller or the row takes precedence,
// then a "yes" from either, then the HTTP method.
func (r route) repeatable(method, declared string) bool {
	row := r.Value.Repeatable
	switch {
	case declared == "no" || row == table.Never:
		return false
	case declared == "yes" || row == table.Always:
		return true
	}
	return safeMethod(method)
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// needsClaim reports whether the request runs under an idempotency key.
func (c *call) needsClaim() bool { return !c.repeatable && c.key != "" }

func (c *call) scope() string { return c.customer + "\x00" + c.service.Key }

// bodyHash distinguishes the request from another one with the same idempotency key. It covers method, target and body
// and is the claim's fingerprint on the wire.
func (c *call) bodyHash(body *requestBody) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.method + "\x00" + c.target + "\x00")
	_, _ = d.Write(body.data)
	return d.Sum64()
}

// requestBody is a request's complete body.
type requestBody struct {
	data []byte
}

func (b *requestBody) reader() io.Reader { return bytes.NewReader(b.data) }

// readBody returns the request's body, which the callers' listener has usually read already.
func readBody(r *http.Request) (*requestBody, *fault.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if whole, ok := r.Body.(interface{ Whole() []byte }); ok {
		return &requestBody{data: whole.Whole()}, nil
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "", "the body broke off")
	}
	return &requestBody{data: data}, nil
}
