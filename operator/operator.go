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
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// The paths of the operators' listener.
const (
	// PathHealth answers without a token whether the node may serve.
	PathHealth = "/healthz"
	// PathStatus answers Status.
	PathStatus = "/v1/status"
	// PathExplain answers a list of director.Explanation for the query's "service", or all.
	PathExplain = "/v1/explain"
	// PathCustomers answers a list of ratelimit.Use, the customers with a limit that the node has met.
	PathCustomers = "/v1/customers"
	// PathLeftOut answers a list of skipped.Entry, what the node could not understand and left out.
	PathSkipped = "/v1/leftout"
	// PathRow answers the row in force of the query's "kind" and "key".
	PathRow = "/v1/row"
	// PathProfile answers a processor profile of the query's "seconds".
	PathProfile = "/debug/pprof/profile"
	// PathMetrics answers the metrics in text.
	PathMetrics = "/metrics"
)

// Status is what a node says of itself.
type Status struct {
	// Node is the node's id.
	Node string `json:"node"`
	// Hall is its hall.
	Hall string `json:"hall"`
	// Ready is false until it may serve.
	Ready bool `json:"ready"`
	// Revision is the revision in force.
	Revision uint64 `json:"revision"`
	// Config and HostsRevision are the platform's configuration and the list of hosts in force, by their versions.
	Config        uint64 `json:"config"`
	HostsRevision uint64 `json:"hosts_revision"`
	// ReadsOwn and ReadsConfig tell whether it reads the product's own table and the configuration from the platform itself.
	ReadsOwn    bool `json:"reads_own"`
	ReadsConfig bool `json:"reads_config"`
	// Hosts is the length of the host list that it holds.
	Hosts int `json:"hosts"`
	// LinksDialed and LinksAccepted count its links to peers.
	LinksDialed   int `json:"links_dialed"`
	LinksAccepted int `json:"links_accepted"`
	// PeerBytes counts the bytes read from and written to peers since the start.
	PeerBytes uint64 `json:"peer_bytes"`
	// Keys counts the idempotency keys at home here.
	Keys int `json:"keys"`
	// Process is what the node's process has used.
	Process Process `json:"process"`
	// Endpoints are those beside the node that have had work.
	Endpoints []egress.Status `json:"endpoints"`
}

// Process is what a node's process has used since it started, by Go's runtime metrics.
type Process struct {
	// Allocations counts heap objects.
	Allocations uint64 `json:"allocations"`
	// HeapBytes is the size of the live heap.
	HeapBytes uint64 `json:"heap_bytes"`
	// Goroutines counts the live ones.
	Goroutines uint64 `json:"goroutines"`
}

func process() Process {
	samples := []metrics.Sample{
		{Name: "/gc/heap/allocs:objects"}, {Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return Process{
		Allocations: samples[0].Value.Uint64(), HeapBytes: samples[1].Value.Uint64(), Goroutines: samples[2].Value.Uint64(),
	}
}

// Row is a row in force.
type Row struct {
	// Kind is the sheet's name.
	Kind string `json:"kind"`
	// Key is the row's key.
	Key string `json:"key"`
	// Version and Revision are the row's.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Cells are the values by column.
	Cells map[string]string `json:"cells"`
}

// Links counts a node's links and their bytes.
type Links interface {
	// Links returns the number of dialed and accepted links.
	Links() (dialed, accepted int)
	// Bytes returns the bytes read and written since the start.
	Bytes() uint64
}

// Operator answers operators.
type Operator struct {
	node, hall string
	token      string
	snapshot   func() *configsync.Snapshot
	reads      func() (own, config bool)
	egress     *egress.Egress
	director   *director.Director
	links      Links
	limits     *ratelimit.Limiter
	leftOut    *skipped.List
	metrics    http.Handler
}

// New returns the answers of one node; token must come with every request but that for health.
func New(
	node, hall, token string, snapshot func() *configsync.Snapshot, reads func() (own, config bool),
	e *egress.Egress, d *director.Director, l Links, limits *ratelimit.Limiter, leftOut *skipped.List, metrics http.Handler,
) *Operator {
	return &Operator{
		node: node, hall: hall, token: token, snapshot: snapshot, reads: reads,
		egress: e, director: d, links: l, limits: limits, leftOut: leftOut, metrics: metrics,
	}
}

// Routes returns the routes of the listener.
func (o *Operator) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: o.health},
		{Method: http.MethodGet, Path: PathStatus, Handler: o.guarded(o.status)},
		{Method: http.MethodGet, Path: PathExplain, Handler: o.guarded(o.explain)},
		{Method: http.MethodGet, Path: PathCustomers, Handler: o.guarded(o.customers)},
		{Method: http.MethodGet, Path: PathSkipped, Handler: o.guarded(o.leftOutEntries)},
		{Method: http.MethodGet, Path: PathRow, Handler: o.guarded(o.row)},
		{Method: http.MethodGet, Path: PathProfile, Handler: o.guarded(pprof.Profile)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: o.guarded(o.metrics.ServeHTTP)},
	}
}

func (o *Operator) guarded(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + o.token)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			problem(w, http.StatusUnauthorized, fault.New(fault.Unauthorized, "token", "want the operators' token"))
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
		Process: process(), Keys: o.egress.KeyCount(), Endpoints: o.egress.Statuses(),
	}
	held := snap.State.Revisions()
	s.Config, s.HostsRevision = held[table.SourceConfig], held[table.SourceHosts]
	s.ReadsOwn, s.ReadsConfig = o.reads()
	s.LinksDialed, s.LinksAccepted = o.links.Links()
	s.PeerBytes = o.links.Bytes()
	reply(w, s)
}

func (o *Operator) explain(w http.ResponseWriter, r *http.Request) {
	reply(w, o.director.Explain(r.URL.Query().Get("service")))
}

func (o *Operator) customers(w http.ResponseWriter, _ *http.Request) { reply(w, o.limits.Report()) }

func (o *Operator) leftOutEntries(w http.ResponseWriter, _ *http.Request) {
	reply(w, o.leftOut.Entries())
}

func (o *Operator) row(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	sheet, err := table.SheetNamed(q.Get("kind"))
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	row, ok := o.snapshot().State.Row(sheet.Kind, q.Get("key"))
	if !ok {
		problem(w, http.StatusNotFound, fault.New(fault.UnknownName, q.Get("key"), "no such row in force"))
		return
	}
	out := Row{Kind: sheet.Name, Key: row.Key, Version: row.Version, Revision: row.Revision, Cells: map[string]string{}}
	for i, c := range sheet.Columns {
		out.Cells[c.Name] = row.Cells[i]
	}
	reply(w, out)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func problem(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": string(fault.CodeOf(err)), "detail": err.Error()})
}
