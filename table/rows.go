package table

import "time"

// Kind says which sheet of the table a row belongs to.
type Kind uint8

// The kinds of row.
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
	// KindFatal is a row of type Fatal, which nodes write and operators only take out.
	KindPoison
	// KindHall is a row of type Hall.
	KindHall
	// KindEvacuation is a row of type Evacuation, which the platform's operators write.
	KindEvacuation
)

// Service is a named group of endpoints with its policy.
type Service struct {
	// Floor is the share of the service's weight that ejections always leave in use.
	Floor Percent `col:"floor" default:"60%" help:"share of capacity that ejections never touch"`
	// FalseEjections is how many wrong ejections per endpoint and day the operator bears.
	FalseEjections Rate `col:"false_ejections" default:"0.05" help:"bearable false ejections per endpoint and day"`
	// Timeout bounds a request that names no deadline, and any deadline from above.
	Timeout Duration `col:"timeout" default:"30s" help:"longest time for a request"`
	// RetryBudget is the share of requests that may be retried or hedged.
	RetryBudget Percent `col:"retry_budget" default:"10%" help:"retries as a share of requests"`
	// Queue is how many requests may wait beside each endpoint.
	Queue Count `col:"queue" default:"16" help:"requests that may wait beside each endpoint"`
	// Warmup is how long a cold endpoint's share grows to its full weight.
	Warmup Duration `col:"warmup" default:"10s" help:"time over which a new endpoint's share grows"`
	// ProbePath is asked of an endpoint beside its node when that must know which instance it is.
	ProbePath string `col:"probe_path" help:"path that tells an endpoint's instance, empty for none"`
	// Conns is how many connections an endpoint takes from its node; 0 stands for no limit.
	Conns Count `col:"conns" default:"0" help:"connections that an endpoint takes, 0 for no limit"`
	// ColdRate is how many requests a second an endpoint bears while it is cold; 0 while nobody says.
	ColdRate Rate `col:"cold_rate" default:"0" help:"requests a second that a cold endpoint bears, 0 if nobody says"`
}

// Endpoint is one target of a service, beside one host's node.
type Endpoint struct {
	// Service is the key of the service's row.
	Service string `col:"service" required:"yes" help:"service it belongs to"`
	// Host is the host whose node stands beside the endpoint.
	Host string `col:"host" required:"yes" help:"host whose node stands beside it"`
	// Hall is the hall of that host.
	Hall string `col:"hall" required:"yes" help:"hall of that host"`
	// Address is the endpoint's IP and port, as its node dials it.
	Address string `col:"address" required:"yes" help:"IP and port, as its node dials it"`
	// Slots is how many requests it runs at once.
	Slots Count `col:"slots" default:"4" help:"requests it runs at once"`
	// Weight is its share of the work relative to the service's other endpoints.
	Weight Rate `col:"weight" default:"1" help:"share of the work, relative to the others"`
	// Phase says whether it takes new work.
	Phase Phase `col:"phase" default:"active" help:"active, draining or retired"`
}

// Route maps callers' requests to a service.
type Route struct {
	// Host is the host name that callers ask for; "*" stands for any.
	Host string `col:"host" default:"*" help:"host name that callers ask for, * for any"`
	// Prefix is the start of the path, matched at whole segments.
	Prefix string `col:"prefix" default:"/" help:"start of the path, whole segments"`
	// Service is the key of the service's row.
	Service string `col:"service" required:"yes" help:"service that answers"`
	// Repeatable says whether its requests may run more than once.
	Repeatable Repeat `col:"repeatable" default:"method" help:"method, no or yes"`
	// Timeout replaces the service's, if not zero.
	Timeout Duration `col:"timeout" default:"0s" help:"replaces the service's timeout unless 0s"`
	// Attempts is how many endpoints a request may be sent to; 0 stands for the product's own limit.
	Attempts Count `col:"attempts" default:"0" help:"endpoints that a request may be sent to, 0 for the usual"`
	// Priority ranks the route's requests where they wait; 0 goes first.
	Priority Count `col:"priority" default:"0" help:"rank among waiting requests, 0 first"`
	// Aim is the time within which an answer is worth its full value; 0 while nobody says.
	Aim Duration `col:"aim" default:"0s" help:"time within which an answer has its full worth, 0s if nobody says"`
	// Split shares the requests among services by weight; Service is the first of them then.
	Split Split `col:"split" help:"services by weight, such as a=90,b=10, empty for one service"`
	// Open lets in callers that bear no customer's key, where the others must bear one.
	Open YesNo `col:"open" default:"no" help:"whether callers need no customer's key: no or yes"`
	// Closed has every request of the route refused.
	Closed YesNo `col:"closed" default:"no" help:"whether its requests are refused: no or yes"`
	// Regions are the only ones in which its requests may be served and anything of them kept; empty for any.
	Regions Names `col:"regions" help:"regions that its data may be in, with commas, empty for any"`
}

// Listener bounds what the callers' listeners take; its row has the key CallersListener and goes before the settings.
type Listener struct {
	// HeaderBytes bounds a request's header.
	HeaderBytes Count `col:"header_bytes" default:"65536" help:"largest header in bytes"`
	// BodyBytes bounds a request's body.
	BodyBytes Count `col:"body_bytes" default:"16777216" help:"largest body in bytes"`
	// HeaderTimeout bounds the reading of a header.
	HeaderTimeout Duration `col:"header_timeout" default:"10s" help:"longest time for a header"`
	// IdleTimeout bounds the wait for a connection's next request.
	IdleTimeout Duration `col:"idle_timeout" default:"2m" help:"longest wait for a next request"`
	// Keys has every caller bear a customer's key.
	Keys YesNo `col:"keys" default:"no" help:"whether callers must bear a customer's key: no or yes"`
}

// CallersListener is the key of the row of the callers' listeners.
const CallersListener = "callers"

// Customer is one payer of the callers' requests, with its share and limit.
type Customer struct {
	// Weight is its share when an endpoint's queue is full.
	Weight Rate `col:"weight" default:"1" help:"share of a full queue, relative to others"`
	// Limit is how many requests a second it may send through all nodes together; 0 stands for no limit.
	Limit Rate `col:"limit" default:"0" help:"requests a second through all nodes together, 0 for no limit"`
	// Burst is how much of its limit may come at once, as the time in which the limit would let it in.
	Burst Duration `col:"burst" default:"1s" help:"how much of the limit may come at once, as a time"`
	// Priority ranks its requests where they wait before what their routes say; 0 goes first.
	Priority Count `col:"priority" default:"0" help:"rank among waiting requests before their routes', 0 first"`
	// Keys are the digests of the keys by which its requests are known.
	Keys Keys `col:"keys" secret:"yes" help:"digests of its keys; a key written as plain:KEY becomes one at once"`
	// Closed has every request of the customer refused.
	Closed YesNo `col:"closed" default:"no" help:"whether its requests are refused: no or yes"`
	// Regions are the only ones in which its requests may be served and anything of them kept; empty for any.
	Regions Names `col:"regions" help:"regions that its data may be in, with commas, empty for any"`
}

// BurstSize returns how many requests of the customer may come at once.
func (c Customer) BurstSize() float64 { return float64(c.Limit) * time.Duration(c.Burst).Seconds() }

// Fatal is what nodes know of a request under which endpoints ended; its key is the request's content.
type PoisonRequest struct {
	// Service is the key of the service whose endpoints ended.
	Service string `col:"service" required:"yes" help:"service whose endpoints ended"`
	// Ends name these ends: the endpoint's key and when, in milliseconds since 1970.
	Ends Names `col:"ends" help:"endpoints that ended while they ran it, with when"`
	// At is when the last of them did.
	At Moment `col:"at" help:"when the last of them ended"`
}

// Host is an operator's intention for one host; the platform's list says which hosts there are.
type Host struct {
	// Phase says whether the host's endpoints take new work.
	Phase Phase `col:"phase" default:"active" help:"active, draining or retired"`
}

// Hall is what operators say of one hall; its row has the hall's name as the key.
type Hall struct {
	// Evacuated keeps all new work from the hall's endpoints.
	Evacuated YesNo `col:"evacuated" default:"no" help:"whether the hall's endpoints get no new work: no or yes"`
	// Since is when that began, By who said so; both may be empty.
	Since Moment `col:"since" help:"when it was evacuated"`
	By    string `col:"by" help:"who evacuated it"`
	// Region is where the hall is, as far as it concerns the data of routes and customers.
	Region string `col:"region" help:"region of the hall, for routes and customers whose data may be in some alone"`
}

// Evacuation is the word of the platform's operators that a hall's endpoints get no new work; its key is the hall.
type Evacuation struct {
	// At is when a reader first met it.
	At Moment `col:"at" help:"when it was read"`
}

// Meta is what every row carries besides its cells.
type Meta struct {
	// Version is the platform's count of writes to the row, 0 before the first.
	Version uint64
	// Revision is the fleet-wide revision of the row's last change, within its plane.
	Revision uint64
	// Plane is where the row comes from.
	Source Source
}

// RowID names a row among those of every kind.
type RowID struct {
	// Kind is the sheet.
	Kind Kind
	// Key names the row within its sheet.
	Key string
}

// Row is one row of any kind, its cells in the order of the kind's columns.
type Row struct {
	Meta
	// Kind is the sheet.
	Kind Kind
	// Key names the row within its sheet.
	Key string
	// Deleted marks a row that was taken out by its last change.
	Deleted bool
	// Cells are the values as text, one for each column; empty for a deleted row.
	Cells []string
}

// Trimmed returns the row without the cells at its end that say what an empty one would. A program that does not know the newest
// columns can read it as long as it makes no use of them.
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

// ID returns the row's name among those of every kind.
func (r Row) ID() RowID { return RowID{Kind: r.Kind, Key: r.Key} }
