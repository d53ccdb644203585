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
	// routeRanks is how many priorities of routes lie between two of customers, customerRanks how many of those there are.
	routeRanks    = 1 << 10
	customerRanks = 1 << 20
)

// call is what the caller asks for, as the contract reads it.
type call struct {
	id       string
	route    route
	service  table.ServiceView
	customer string
	// regions are those in which the request's data may be.
	regions region.Set
	// token is what the caller bears of its customer's key, keyed is set where that is the customer's.
	token      contract.Token
	keyed      bool
	repeatable bool
	// further is set for a call of work that was itself sent again, ofRepeat is the chance of that where the work that made
	// the call is not known.
	further  bool
	ofRepeat float64
	timeout  time.Duration
	// content is what the request asks for, the same whenever it comes again.
	content  poison.Fingerprint
	key      string
	attempt  uint32
	method   string
	target   string
	host     string
	path     string
	headers  []*peerpb.Header
	revision uint64
	config   uint64
}

// parse reads what the caller asks for; the failure says what is wrong.
func (g *Ingress) parse(snap *configsync.Snapshot, r *http.Request) (call, *fault.Error) {
	say, bad := g.cfg.Contract.Call(r.Header)
	c := call{
		id: say.ID, method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.EscapedPath(), customer: say.Customer, token: say.Token,
		key: say.Key, attempt: say.Attempt, revision: snap.State.Revision(),
		config: snap.State.Revisions()[table.SourceConfig],
	}
	if bad != nil {
		return c, bad
	}
	if !strings.HasPrefix(c.target, "/") {
		return c, fault.New(fault.BadRequest, "target", "want a target that starts with /")
	}
	if bad := g.findRoute(&c, snap.State); bad != nil {
		return c, bad
	}
	if c.customer, c.keyed, bad = c.holder(snap.State); bad != nil {
		return c, bad
	}
	c.regions = snap.State.RegionsFor(c.route.Value, c.customer)
	c.timeout = c.route.timeout(c.service, say.Timeout)
	c.repeatable = c.route.repeatable(r.Method, say.Repeatable)
	g.findOrigin(&c)
	c.headers = g.cfg.Contract.Forward(r.Header, contract.Origin{Address: clientIP(r), Keyed: snap.State.KeysRequired()})
	return c, nil
}

// holder finds the customer whose key the caller bears, where callers must bear one; keyed is false for a route that is open to all and
// a caller that bears no key, or none that counts, which is nobody's.
func (c *call) holder(s *table.State) (customer string, keyed bool, bad *fault.Error) {
	if !s.KeysRequired() {
		return c.customer, false, nil
	}
	if c.token.Key != "" {
		if holder, ok := s.CustomerByKey(table.DigestKey(c.token.Key)); ok {
			if holder.Value.Closed {
				return holder.Key, true, fault.New(fault.Closed, "customer "+holder.Key, "the customer is closed")
			}
			return holder.Key, true, nil
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

// rank is the request's place among those that wait: first by its customer, then by its route.
func (c *call) rank(s *table.State) uint32 {
	rank := min(uint32(c.route.Value.Priority), routeRanks-1)
	if c.keyed {
		customer, _ := s.Customer(c.customer)
		rank += min(uint32(customer.Value.Priority), customerRanks-1) * routeRanks
	}
	return rank
}

// findOrigin tells a caller's request from a call of the work beside this node: by the work that the request's id names, else
// by what was seen of its route.
func (g *Ingress) findOrigin(c *call) {
	work := g.local.Work(contract.ParentOf(c.id))
	source := g.routes.source(c.route.Key, work.Total == 0)
	if work.ForRequest {
		c.further = work.RetryShare > 0
		return
	}
	if source == fromWork {
		c.ofRepeat = work.RetryShare
	}
}

func clientIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// matchCall returns the route that takes a call.
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

// route is the row that a request goes by.
type route struct {
	table.Entry[table.Route]
}

// timeout is the shorter of the caller's time and the row's, or the service's where the row has none.
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

// repeatable decides whether the request may run more than once. Whoever says no wins: the caller or the row; then
// whoever says yes; then the method.
func (r route) repeatable(method, word string) bool {
	row := r.Value.Repeatable
	switch {
	case word == "no" || row == table.Never:
		return false
	case word == "yes" || row == table.Always:
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

// claims tells whether the request runs under an idempotency key.
func (c *call) claims() bool { return !c.repeatable && c.key != "" }

func (c *call) scope() string { return c.customer + "\x00" + c.service.Key }

// fingerprint tells the request from another with the same key.
func (c *call) fingerprint(body *requestBody) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.method + "\x00" + c.target + "\x00")
	_, _ = d.Write(body.head)
	return d.Sum64()
}

// requestBody is a request's whole body.
type requestBody struct {
	head []byte
}

func (b *requestBody) reader() io.Reader { return bytes.NewReader(b.head) }

// takeBody takes the body, which the callers' listener has read whole.
func takeBody(r *http.Request) (*requestBody, *fault.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if whole, ok := r.Body.(interface{ Whole() []byte }); ok {
		return &requestBody{head: whole.Whole()}, nil
	}
	head, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "", "the body broke off")
	}
	return &requestBody{head: head}, nil
}
