package table

import "time"

// Kind is the type of a row and so the sheet of the table that it belongs to.
type Kind uint8

// The kinds of rows.
const (
	// KindService is a row of type Service.
	KindService Kind = iota + 1
	// KindEndpoint is a row of type Endpoint.
	KindEndpoint
	// KindRoute is a row of type Route.
	KindRoute
	// KindCustomer is a row of type Customer.
	KindCustomer
	// KindHost is a row of type Host.
	KindHost
	// KindListener is a row of type Listener.
	KindListener
	// KindPoison is a row of type PoisonRequest, which nodes write and operators can only delete. Its printed name is
	// "fatal".
	KindPoison
	// KindHall is a row of type Hall.
	KindHall
	// KindEvacuation is a row of type Evacuation, which the platform's operators write.
	KindEvacuation
)

// Service is a named group of endpoints with the policies for its requests.
type Service struct {
	// Floor is the share of the service's total weight that ejections always leave in use.
	Floor Percent `col:"floor" default:"60%" help:"share of capacity that ejections never touch"`
	// FalseEjections is the rate of false ejections, per endpoint and day, that the operator accepts.
	FalseEjections Rate `col:"false_ejections" default:"0.05" help:"bearable false ejections per endpoint and day"`
	// Timeout is the deadline of a request that sets none, and the maximum for one that does.
	Timeout Duration `col:"timeout" default:"30s" help:"longest time for a request"`
	// RetryBudget is the maximum number of retries and hedges, as a share of the requests.
	RetryBudget Percent `col:"retry_budget" default:"10%" help:"retries as a share of requests"`
	// Queue is the number of requests that may wait in the queue of each endpoint.
	Queue Count `col:"queue" default:"16" help:"requests that may wait beside each endpoint"`
	// Warmup is the time in which a cold endpoint's share grows to its full weight.
	Warmup Duration `col:"warmup" default:"10s" help:"time over which a new endpoint's share grows"`
	// ProbePath is the path that a node requests from a local endpoint to learn which instance it is; empty for none.
	ProbePath string `col:"probe_path" help:"path that tells an endpoint's instance, empty for none"`
	// Conns is the maximum number of connections from the node to an endpoint; 0 means no limit.
	Conns Count `col:"conns" default:"0" help:"connections that an endpoint takes, 0 for no limit"`
	// ColdRate is the number of requests per second that an endpoint can take while it is cold; 0 if not set.
	ColdRate Rate `col:"cold_rate" default:"0" help:"requests a second that a cold endpoint bears, 0 if nobody says"`
}

// Endpoint is one server process of a service. It runs on a host and gets its requests from the node on that host.
type Endpoint struct {
	// Service is the key of the service's row.
	Service string `col:"service" required:"yes" help:"service it belongs to"`
	// Host is the host on which the endpoint runs, together with its node.
	Host string `col:"host" required:"yes" help:"host whose node stands beside it"`
	// Hall is the hall in which the host stands.
	Hall string `col:"hall" required:"yes" help:"hall of that host"`
	// Address is the IP and port at which the node on the host dials the endpoint.
	Address string `col:"address" required:"yes" help:"IP and port, as its node dials it"`
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots Count `col:"slots" default:"4" help:"requests it runs at once"`
	// Weight is the endpoint's share of the requests relative to the service's other endpoints.
	Weight Rate `col:"weight" default:"1" help:"share of the work, relative to the others"`
	// Phase says whether the endpoint takes new work.
	Phase Phase `col:"phase" default:"active" help:"active, draining or retired"`
}

// Route maps callers' requests to a service.
type Route struct {
	// Host is the host name in the requests that the route matches; "*" matches any.
	Host string `col:"host" default:"*" help:"host name that callers ask for, * for any"`
	// Prefix is the path prefix that the route matches, in whole segments only.
	Prefix string `col:"prefix" default:"/" help:"start of the path, whole segments"`
	// Service is the key of the service's row.
	Service string `col:"service" required:"yes" help:"service that answers"`
	// Repeatable says whether the route's requests may run more than once.
	Repeatable Repeat `col:"repeatable" default:"method" help:"method, no or yes"`
	// Timeout overrides the service's timeout unless it is zero.
	Timeout Duration `col:"timeout" default:"0s" help:"replaces the service's timeout unless 0s"`
	// Attempts is the maximum number of endpoints that a request may be sent to; 0 means the product's default limit.
	Attempts Count `col:"attempts" default:"0" help:"endpoints that a request may be sent to, 0 for the usual"`
	// Priority is the rank of the route's requests in queues; 0 goes first.
	Priority Count `col:"priority" default:"0" help:"rank among waiting requests, 0 first"`
	// Aim is the latency target: the time within which an answer has its full value; 0 if not set.
	Aim Duration `col:"aim" default:"0s" help:"time within which an answer has its full worth, 0s if nobody says"`
	// Split distributes the requests among several services by weight; Service is then the first of them.
	Split Split `col:"split" help:"services by weight, such as a=90,b=10, empty for one service"`
	// Open admits requests without a customer's key where Listener.Keys requires one.
	Open YesNo `col:"open" default:"no" help:"whether callers need no customer's key: no or yes"`
	// Closed makes nodes refuse all requests of the route.
	Closed YesNo `col:"closed" default:"no" help:"whether its requests are refused: no or yes"`
	// Regions are the only regions in which the requests may be served and any of their data stored; empty for any
	// region.
	Regions Names `col:"regions" help:"regions that its data may be in, with commas, empty for any"`
}

// Listener holds the limits of the listeners for callers. Its row has the key CallersListener and overrides the settings.
type Listener struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes Count `col:"header_bytes" default:"65536" help:"largest header in bytes"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes Count `col:"body_bytes" default:"16777216" help:"largest body in bytes"`
	// HeaderTimeout is the time limit for reading a request's header.
	HeaderTimeout Duration `col:"header_timeout" default:"10s" help:"longest time for a header"`
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout Duration `col:"idle_timeout" default:"2m" help:"longest wait for a next request"`
	// Keys makes a customer's key mandatory in every request, but for those of routes with Open set.
	Keys YesNo `col:"keys" default:"no" help:"whether callers must bear a customer's key: no or yes"`
}

// CallersListener is the key of the one Listener row.
const CallersListener = "callers"

// Customer is a tenant on whose account callers send requests, with its share of queues and its rate limit.
type Customer struct {
	// Weight is the customer's share of an endpoint's full queue, relative to other customers.
	Weight Rate `col:"weight" default:"1" help:"share of a full queue, relative to others"`
	// Limit is the number of requests per second that the customer may send through all nodes together; 0 means no limit.
	Limit Rate `col:"limit" default:"0" help:"requests a second through all nodes together, 0 for no limit"`
	// Burst is the size of the burst that Limit allows, as the time in which Limit would admit that many requests.
	Burst Duration `col:"burst" default:"1s" help:"how much of the limit may come at once, as a time"`
	// Priority is the rank of the customer's requests in queues, compared before that of their routes; 0 goes first.
	Priority Count `col:"priority" default:"0" help:"rank among waiting requests before their routes', 0 first"`
	// Keys are the digests of the keys that identify the customer's requests.
	Keys Keys `col:"keys" secret:"yes" help:"digests of its keys; a key written as plain:KEY becomes one at once"`
	// Closed makes nodes refuse all requests of the customer.
	Closed YesNo `col:"closed" default:"no" help:"whether its requests are refused: no or yes"`
	// Regions are the only regions in which the requests may be served and any of their data stored; empty for any
	// region.
	Regions Names `col:"regions" help:"regions that its data may be in, with commas, empty for any"`
}

// BurstSize returns the number of requests that the customer may send in one burst.
func (c Customer) BurstSize() float64 { return float64(c.Limit) * time.Duration(c.Burst).Seconds() }

// PoisonRequest is the nodes' record of a request that crashed endpoints; its key is the request's fingerprint.
type PoisonRequest struct {
	// Service is the key of the service whose endpoints crashed.
	Service string `col:"service" required:"yes" help:"service whose endpoints ended"`
	// Ends lists the crashes, each as the endpoint's key and the time in milliseconds since 1970.
	Ends Names `col:"ends" help:"endpoints that ended while they ran it, with when"`
	// At is the time of the last crash.
	At Moment `col:"at" help:"when the last of them ended"`
}

// Host is the phase that an operator has set for a host. Which hosts exist is known from the platform's list, not from
// these rows.
type Host struct {
	// Phase says whether the host's endpoints take new work.
	Phase Phase `col:"phase" default:"active" help:"active, draining or retired"`
}

// Hall is an operator's settings for a hall; the row's key is the hall's name.
type Hall struct {
	// Evacuated stops all new work for the hall's endpoints.
	Evacuated YesNo `col:"evacuated" default:"no" help:"whether the hall's endpoints get no new work: no or yes"`
	// Since is when the evacuation began, By who ordered it; both may be empty.
	Since Moment `col:"since" help:"when it was evacuated"`
	By    string `col:"by" help:"who evacuated it"`
	// Region is the region of the hall, which decides whether data of a route or customer restricted to certain regions
	// may be there.
	Region string `col:"region" help:"region of the hall, for routes and customers whose data may be in some alone"`
}

// Evacuation records that the platform's operators have evacuated a hall; its key is the hall's name.
type Evacuation struct {
	// At is when a reader first read the evacuation.
	At Moment `col:"at" help:"when it was read"`
}

// Meta holds a row's version, revision and source, which every row carries besides its cells.
type Meta struct {
	// Version is the platform's count of writes to the row, 0 before the first write.
	Version uint64
	// Revision is the revision of the row's source at which the row last changed. It is the same in the whole fleet, except
	// for SourceHosts: there each node counts the changes itself (see State.WithEndpoints).
	Revision uint64
	// Source is where the row comes from.
	Source Source
}

// RowID identifies a row among those of all kinds.
type RowID struct {
	// Kind is the row's type.
	Kind Kind
	// Key identifies the row within its sheet.
	Key string
}

// Row is one row of any kind, its cells in the order of the kind's columns.
type Row struct {
	Meta
	// Kind is the row's type.
	Kind Kind
	// Key identifies the row within its sheet.
	Key string
	// Deleted marks a row that its last change deleted.
	Deleted bool
	// Cells are the values in text form, one for each column; empty for a deleted row.
	Cells []string
}

// Trimmed returns the row without the trailing cells whose text is that of an empty cell. An older version of the
// program, which lacks the newest columns, can then decode the row unless it uses these columns.
func (r Row) Trimmed() Row {
	sheet, err := SheetOf(r.Kind)
	if err != nil {
		return r
	}
	n := len(r.Cells)
	for n > 0 && n <= len(sheet.Columns) && r.Cells[n-1] == sheet.Columns[n-1].empty {
		n--
	}
	r.Cells = r.Cells[:n:n]
	return r
}

// ID returns the identifier of the row.
func (r Row) ID() RowID { return RowID{Kind: r.Kind, Key: r.Key} }
