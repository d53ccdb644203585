package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"runtime/metrics"

	"github.com/zeromicro/go-zero/rest"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// The paths of the operators' listener.
const (
	// PathHealth answers 200 if the node is ready to serve, else 503; it needs no token.
	PathHealth = "/healthz"
	// PathStatus returns the node's Status.
	PathStatus = "/v1/status"
	// PathExplain returns a list of director.Explanation for the service in the query parameter "service", or for all services.
	PathExplain = "/v1/explain"
	// PathThrottles returns a list of ingress.Throttle for the service in the query parameter "service", or for all services.
	PathThrottles = "/v1/throttles"
	// PathCustomers returns a list of ratelimit.Usage for the customers with a limit whose requests the node has
	// recently received.
	PathCustomers = "/v1/customers"
	// PathSkipped returns a list of skipped.Entry, the entries that the node could not decode.
	PathSkipped = "/v1/leftout"
	// PathRow returns the active Row of the query parameters "kind" and "key".
	PathRow = "/v1/row"
	// PathProfile returns a CPU profile over the number of seconds in the query parameter "seconds".
	PathProfile = "/debug/pprof/profile"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// Status is the report of a node's own state.
type Status struct {
	// Node is the node's id.
	Node string `json:"node"`
	// Hall is the node's hall.
	Hall string `json:"hall"`
	// Ready reports whether the node may serve requests.
	Ready bool `json:"ready"`
	// Revision is the active revision of the table.
	Revision uint64 `json:"revision"`
	// Config and HostsRevision are the versions of the platform's configuration and of the list of hosts that are active.
	Config        uint64 `json:"config"`
	HostsRevision uint64 `json:"hosts_revision"`
	// ReadsOwn and ReadsConfig report whether the node reads the product's table and the configuration directly from the
	// platform.
	ReadsOwn    bool `json:"reads_own"`
	ReadsConfig bool `json:"reads_config"`
	// Hosts is the number of hosts in the node's list of hosts.
	Hosts int `json:"hosts"`
	// LinksDialed and LinksAccepted are the numbers of the node's open links to peers, by which side opened them.
	LinksDialed   int `json:"links_dialed"`
	LinksAccepted int `json:"links_accepted"`
	// PeerBytes is the number of bytes read from and written to peers since the start.
	PeerBytes uint64 `json:"peer_bytes"`
	// Keys is the number of idempotency keys that the node owns.
	Keys int `json:"keys"`
	// Process is the resource usage of the node's process.
	Process Process `json:"process"`
	// Endpoints are the endpoints beside the node that have received requests.
	Endpoints []egress.Status `json:"endpoints"`
}

// Process is the resource usage of a node's process, read from Go's runtime metrics.
type Process struct {
	// Allocations is the number of heap objects allocated since the process started.
	Allocations uint64 `json:"allocations"`
	// HeapBytes is the size of the live heap.
	HeapBytes uint64 `json:"heap_bytes"`
	// Goroutines is the number of live goroutines.
	Goroutines uint64 `json:"goroutines"`
}

// processUsage reads the usage of this process.
func processUsage() Process {
	samples := []metrics.Sample{
		{Name: "/gc/heap/allocs:objects"}, {Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return Process{
		Allocations: samples[0].Value.Uint64(), HeapBytes: samples[1].Value.Uint64(), Goroutines: samples[2].Value.Uint64(),
	}
}

// Row is an active row of the table.
type Row struct {
	// Kind is the name of the sheet that contains the row.
	Kind string `json:"kind"`
	// Key is the row's key.
	Key string `json:"key"`
	// Version is the platform's count of writes to the row. Revision is the fleet-wide revision of the row's last change.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Cells are the row's values by column name.
	Cells map[string]string `json:"cells"`
}

// Links reports the number of a node's links to peers and of the bytes that they carried.
type Links interface {
	// Links returns the numbers of links that this node dialed and accepted.
	Links() (dialed, accepted int)
	// Bytes returns the bytes read and written since the start.
	Bytes() uint64
}

// Operator handles the requests of the operators' listener.
type Operator struct {
	node, hall string
	token      string
	snapshot   func() *configsync.Snapshot
	reads      func() (own, config bool)
	egress     *egress.Egress
	director   *director.Director
	links      Links
	limits     *ratelimit.Limiter
	skipped    *skipped.List
	metrics    http.Handler
	throttles  func(service string) []ingress.Throttle
}

// Option configures an Operator in New.
type Option func(*Operator)

// WithThrottles reports the throttles that f returns for a service.
func WithThrottles(f func(service string) []ingress.Throttle) Option {
	return func(o *Operator) { o.throttles = f }
}

// New returns the Operator of a node. Every request except those to PathHealth must carry token.
func New(
	node, hall, token string, snapshot func() *configsync.Snapshot, reads func() (own, config bool),
	e *egress.Egress, d *director.Director, l Links, limits *ratelimit.Limiter, skippedEntries *skipped.List, metrics http.Handler,
	opts ...Option,
) *Operator {
	op := &Operator{
		node: node, hall: hall, token: token, snapshot: snapshot, reads: reads,
		egress: e, director: d, links: l, limits: limits, skipped: skippedEntries, metrics: metrics,
		throttles: func(string) []ingress.Throttle { return []ingress.Throttle{} },
	}
	for _, opt := range opts {
		opt(op)
	}
	return op
}

// Routes returns the routes of the listener.
func (o *Operator) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: o.health},
		{Method: http.MethodGet, Path: PathStatus, Handler: o.authorized(o.status)},
		{Method: http.MethodGet, Path: PathExplain, Handler: o.authorized(o.explain)},
		{Method: http.MethodGet, Path: PathThrottles, Handler: o.authorized(o.explainThrottles)},
		{Method: http.MethodGet, Path: PathCustomers, Handler: o.authorized(o.customers)},
		{Method: http.MethodGet, Path: PathSkipped, Handler: o.authorized(o.skippedEntries)},
		{Method: http.MethodGet, Path: PathRow, Handler: o.authorized(o.row)},
		{Method: http.MethodGet, Path: PathProfile, Handler: o.authorized(pprof.Profile)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: o.authorized(o.metrics.ServeHTTP)},
	}
}

// authorized wraps a handler so that requests without the operators' token are refused.
func (o *Operator) authorized(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + o.token)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			writeError(w, http.StatusUnauthorized, fault.New(fault.Unauthorized, "token", "want the operators' token"))
			return
		}
		next(w, r)
	}
}

func (o *Operator) health(w http.ResponseWriter, _ *http.Request) {
	if !o.snapshot().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (o *Operator) status(w http.ResponseWriter, _ *http.Request) {
	snap := o.snapshot()
	s := Status{
		Node: o.node, Hall: o.hall, Ready: snap.Ready, Revision: snap.State.Revision(), Hosts: len(snap.Hosts),
		Process: processUsage(), Keys: o.egress.KeyCount(), Endpoints: o.egress.Statuses(),
	}
	revisions := snap.State.Revisions()
	s.Config, s.HostsRevision = revisions[table.SourceConfig], revisions[table.SourceHosts]
	s.ReadsOwn, s.ReadsConfig = o.reads()
	s.LinksDialed, s.LinksAccepted = o.links.Links()
	s.PeerBytes = o.links.Bytes()
	writeJSON(w, s)
}

func (o *Operator) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, o.director.Explain(r.URL.Query().Get("service")))
}

func (o *Operator) explainThrottles(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, o.throttles(r.URL.Query().Get("service")))
}

func (o *Operator) customers(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.limits.Report()) }

func (o *Operator) skippedEntries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.skipped.Entries())
}

func (o *Operator) row(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	sheet, err := table.SheetNamed(q.Get("kind"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	row, ok := o.snapshot().State.Row(sheet.Kind, q.Get("key"))
	if !ok {
		writeError(w, http.StatusNotFound, fault.New(fault.UnknownName, q.Get("key"), "no such row in force"))
		return
	}
	out := Row{Kind: sheet.Name, Key: row.Key, Version: row.Version, Revision: row.Revision, Cells: map[string]string{}}
	for i, c := range sheet.Columns {
		out.Cells[c.Name] = row.Cells[i]
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": string(fault.CodeOf(err)), "detail": err.Error()})
}
