package settings

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
)

// Daemon holds the settings of a node.
type Daemon struct {
	// Node is the node's identity and location.
	Node Node `yaml:"node"`
	// Callers configures the listener for callers' requests.
	Callers Callers `yaml:"callers"`
	// Peers configures the listener for peers and the links between nodes.
	Peers Peers `yaml:"peers"`
	// Operators configures the listener for operators.
	Operators Operators `yaml:"operators"`
	// Platform is the platform's address and how the node reads from it.
	Platform Platform `yaml:"platform"`
	// Endpoints configures how the node handles the endpoints beside it.
	Endpoints Endpoints `yaml:"endpoints"`
	// Announced configures how endpoints announce themselves to the node beside them.
	Announced Announced `yaml:"announced"`
	// Readiness configures the listener that reports whether callers may be routed to the node.
	Readiness Readiness `yaml:"readiness"`
	// Services holds the values of a service that the platform's configuration does not contain.
	Services Services `yaml:"services"`
	// Retries configures the fleet's retry budget.
	Retries Retries `yaml:"retries"`
	// Limits configures how customers' rate limits are enforced.
	Limits Limits `yaml:"limits"`
	// Cold limits how far the load of a cold endpoint may exceed its service's cold rate.
	Cold Cold `yaml:"cold"`
	// Memory limits the memory for request and answer bodies.
	Memory Memory `yaml:"memory"`
	// Ejection configures how long endpoints are ejected and how they return to service.
	Ejection Ejection `yaml:"ejection"`
	// Overload selects what the node does when demand exceeds the capacity of endpoints.
	Overload Overload `yaml:"overload"`
	// Stop configures the planned stop.
	Stop Stop `yaml:"stop"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// Node is a node's identity and location.
type Node struct {
	// ID is the host's name in the platform's list of hosts.
	ID string `yaml:"id" validate:"required"`
	// Hall is the hall in which the host stands.
	Hall string `yaml:"hall" validate:"required"`
	// Regions maps halls to their regions, for halls whose region the table does not contain. Some routes and customers restrict
	// their data to certain regions.
	Regions map[string]string `yaml:"regions"`
}

// Listener is the address and the limits of an HTTP listener.
type Listener struct {
	// Listen is the IP and port.
	Listen Address `yaml:"listen" validate:"required"`
	// HeaderBytes limits the size of a request's header.
	HeaderBytes Size `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// Conns limits the number of open connections.
	Conns int `yaml:"conns" validate:"min=1"`
	// HeaderTimeout limits the time to read a header.
	HeaderTimeout Duration `yaml:"header_timeout" validate:"min=1"`
	// IdleTimeout limits the wait for the next request on a connection.
	IdleTimeout Duration `yaml:"idle_timeout" validate:"min=1"`
}

// Callers configures the listener for callers' requests.
type Callers struct {
	Listener `yaml:",inline"`
	// BodyBytes limits the size of a request's body.
	BodyBytes Size `yaml:"body_bytes" validate:"min=1"`
	// Contract selects the header fields that callers and endpoints use: the product's (own) or the platform's (platform).
	Contract string `yaml:"contract" validate:"oneof=own platform"`
}

// Announced configures how endpoints announce themselves to the node beside them.
type Announced struct {
	// Listen is the IP and port for endpoints' heartbeats; empty if endpoints are rows of the table.
	Listen Address `yaml:"listen"`
	// Address is the IP and port of the endpoint beside the node, for the probe that identifies it after a restart of the node.
	Address Address `yaml:"address"`
	// Service is the service of the endpoint beside the node.
	Service string `yaml:"service"`
}

// Readiness configures the listener that reports whether callers may be routed to the node.
type Readiness struct {
	// Listen is the IP and port; empty for none.
	Listen Address `yaml:"listen"`
}

// Services holds the values of a service that the platform's configuration does not contain. The fields correspond to columns
// of a service's row in the table.
type Services struct {
	// Floor is the share of capacity that ejections must leave in service, 0 to 1.
	Floor float64 `yaml:"floor" validate:"min=0,max=1"`
	// FalseEjections is the tolerated number of false ejections per endpoint and day.
	FalseEjections float64 `yaml:"false_ejections" validate:"min=0"`
	// RetryShare is the retry budget as a share of requests, 0 to 1.
	RetryShare float64 `yaml:"retry_share" validate:"min=0,max=1"`
	// Queue is the number of requests that may wait beside each endpoint.
	Queue int `yaml:"queue" validate:"min=0"`
	// Warmup is the time over which a new endpoint's share of requests grows to its full size.
	Warmup Duration `yaml:"warmup"`
	// Timeout limits a request whose route sets no timeout.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
}

// Retries configures the fleet's retry budget in addition to the services' retry shares.
type Retries struct {
	// Slack is the number of a service's retries that the whole fleet may make in a window beyond the service's share.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Use is the part of the budget, of share and slack alike, that the nodes use, 0 to 1. The rest is reserved for retries that
	// nodes count only by their probability: the calls that a request makes when it runs again.
	Use float64 `yaml:"use" validate:"min=0,max=1"`
	// Window is the time window in which the fleet's retries are counted.
	Window Duration `yaml:"window" validate:"min=1000000"`
	// MaxBurst limits the part of the slack that the node of a single endpoint may hold.
	MaxBurst float64 `yaml:"most_burst" validate:"min=0"`
}

// Limits configures how customers' rate limits are enforced over all nodes together.
type Limits struct {
	// Policy selects how limits are divided among nodes: with lent, a few owners of each limit grant allotments to the nodes that
	// need them; with even, each node gets an equal share.
	Policy string `yaml:"policy" validate:"oneof=lent even"`
	// Window is the time window in which requests are counted.
	Window Duration `yaml:"window" validate:"min=1000000"`
	// Slack is the tolerated number of a customer's requests beyond its limit in a window. Nodes that reach no owner of the limit
	// pass a part of it; the rest covers changes of owners while the list of hosts changes.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Settle is the time in which a change of the list of hosts reaches every node. A new owner of a limit grants nothing before
	// it has passed.
	Settle Duration `yaml:"settle"`
}

// Cold limits the requests to a cold endpoint: in any second, its service's cold rate times Over, plus Slack requests.
type Cold struct {
	// Over is the factor applied to the cold rate to get the limit of a single second.
	Over float64 `yaml:"over" validate:"min=1"`
	// Slack is the number of requests allowed on top of that.
	Slack float64 `yaml:"slack" validate:"min=2"`
}

// Memory limits the memory for request and answer bodies that the node buffers for slow receivers.
type Memory struct {
	// Host is the amount of memory that the node's process may use.
	Host Size `yaml:"host" validate:"min=33554432"`
	// Share is the share of Host that bodies may use, 0.01 to 0.3. The process also needs memory for its other work, and as much
	// again for memory that it no longer uses but has not yet returned to the operating system.
	Share float64 `yaml:"share" validate:"min=0.01,max=0.3"`
}

// Bodies returns the memory that bodies may use, in bytes.
func (m Memory) Bodies() int64 { return int64(float64(m.Host) * m.Share) }

// Peers configures the listener for peers and the links between nodes.
type Peers struct {
	// Listen is the IP and port.
	Listen Address `yaml:"listen" validate:"required"`
	// Advertise is the IP and port that other nodes dial; Listen if empty.
	Advertise Address `yaml:"advertise"`
	// Seeds are peers from which to read the configuration while the platform does not answer.
	Seeds []Address `yaml:"seeds"`
	// SeedsPort replaces the port of each seed, for seeds whose listed address is that of another listener; 0 keeps the port.
	SeedsPort int `yaml:"seeds_port" validate:"min=0,max=65535"`
	// Heartbeat is the time between heartbeats.
	Heartbeat Duration `yaml:"heartbeat" validate:"min=10000000,ltefield=CutAfter"`
	// CutAfter is the time after which a silent link gets no new requests.
	CutAfter Duration `yaml:"cut_after" validate:"min=30000000"`
	// IdleClose is the time after which a link without requests is closed.
	IdleClose Duration `yaml:"idle_close" validate:"min=1000000000"`
	// GoneAfter is the time after which the announcement of an unreachable host is removed from the table.
	GoneAfter Duration `yaml:"gone_after" validate:"min=1"`
	// Conns limits the number of peers connected at once.
	Conns int `yaml:"conns" validate:"min=1"`
	// TLS enables mutual TLS.
	TLS TLS `yaml:"tls"`
}

// TLS contains the paths of the files for mutual TLS; either all three are set or none.
type TLS struct {
	// Cert is the node's certificate chain, PEM.
	Cert string `yaml:"cert" validate:"required_with=Key CA"`
	// Key is the certificate's key, PEM.
	Key string `yaml:"key" validate:"required_with=Cert CA"`
	// CA is the certificate of the authority that signs every peer's certificate, PEM.
	CA string `yaml:"ca" validate:"required_with=Cert Key"`
}

// Operators configures the listener for operators.
type Operators struct {
	Listener `yaml:",inline"`
	// Token must be sent with every request.
	Token Secret `yaml:"token" validate:"required"`
}

// Platform is the platform's address and how the node reads from it.
type Platform struct {
	// Address is the IP and port.
	Address Address `yaml:"address" validate:"required"`
	// Token is sent with every call.
	Token Secret `yaml:"token"`
	// Timeout limits a call.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
	// RetryInterval is the initial time between two calls to a failing platform.
	RetryInterval Duration `yaml:"retry" validate:"min=10000000"`
	// MaxRetryInterval is the maximum up to which that time doubles while the platform keeps failing.
	MaxRetryInterval Duration `yaml:"retry_most" validate:"min=10000000"`
	// Wait is how long one call waits for a change (long poll); in this time each reader of a hall looks once on a new
	// connection.
	Wait Duration `yaml:"wait" validate:"min=10000000"`
	// Readers is the number of nodes of a hall that read the product's table from the platform.
	Readers int `yaml:"readers" validate:"min=1"`
	// ConfigReaders is the number of nodes of a hall that read the configuration of the platform's operators.
	ConfigReaders int `yaml:"config_readers" validate:"min=1"`
	// Config enables reading the configuration that the platform's operators maintain.
	Config bool `yaml:"config"`
}

// Endpoints configures how the node handles the endpoints beside it.
type Endpoints struct {
	// ProbePath is the path probed on an endpoint that announced it is draining, to detect when it takes requests again.
	ProbePath string `yaml:"probe_path" validate:"startswith=/"`
	// ProbeEvery is the time between two probes.
	ProbeEvery Duration `yaml:"probe_every" validate:"min=1"`
	// KeyWindow is how long an idempotency key is stored.
	KeyWindow Duration `yaml:"key_window" validate:"min=1"`
	// KeySettle is the time in which a change of a service's endpoints becomes active on every node. The ownership of keys and the
	// endpoints' shares of the retry budget rely on it.
	KeySettle Duration `yaml:"key_settle"`
	// KeyBytes limits the memory for keys and stored answers.
	KeyBytes Size `yaml:"key_bytes" validate:"min=65536"`
}

// Stop configures the planned stop.
type Stop struct {
	// Grace is the earliest time after a stop signal at which the node may be killed.
	Grace Duration `yaml:"grace"`
	// Margin is how long before the end of Grace callers have received every answer that the node can give without an endpoint's
	// answer.
	Margin Duration `yaml:"margin"`
	// Overrun is how long after Grace the node keeps waiting for requests that endpoints work on, unless it is killed.
	Overrun Duration `yaml:"overrun"`
	// Notice is how long a stopping node keeps serving as before, so that callers and peers can move to other nodes.
	Notice Duration `yaml:"notice"`
}

// Log configures the log.
type Log struct {
	// Level is the minimum level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Ejection configures how long endpoints are ejected and how they return to service; see eject.Config.
type Ejection struct {
	// First is the duration of an endpoint's first ejection. Each additional ejection doubles it, up to Longest.
	First   Duration `yaml:"first" validate:"min=1"`
	Longest Duration `yaml:"longest" validate:"min=1"`
	// Forgive is how long an endpoint must serve without ejection before its ejection count is halved.
	Forgive Duration `yaml:"forgive" validate:"min=1"`
	// Successes is the number of consecutive successful answers that end the trickle.
	Successes int `yaml:"successes" validate:"min=1"`
	// RampStep is the duration of each step of the ramp, in which the endpoint's share grows.
	RampStep Duration `yaml:"ramp_step" validate:"min=1"`
}

// Overload selects what the node does when demand exceeds the capacity of endpoints.
type Overload struct {
	// NestedFirst serves calls that endpoints make while they handle a request before new requests.
	NestedFirst bool `yaml:"nested_first"`
	// ReclaimSlots ends repeatable requests that hold slots of hanging endpoints when other requests need the slots.
	ReclaimSlots bool `yaml:"reclaim_slots"`
	// EarlyRefusal refuses requests at the ingress while their service refuses most requests of their route.
	EarlyRefusal bool `yaml:"early_refusal"`
	// SuspectRoom sends requests to endpoints with an open breaker, by their chance of success, when all others are full.
	SuspectRoom bool `yaml:"suspect_room"`
}

// DefaultDaemon returns the default settings of a node.
func DefaultDaemon() Daemon {
	listener := Listener{
		HeaderBytes: 64 << 10, Conns: 10000,
		HeaderTimeout: Duration(10 * time.Second), IdleTimeout: Duration(2 * time.Minute),
	}
	return Daemon{
		Callers: Callers{Listener: listener, BodyBytes: 16 << 20, Contract: "own"},
		Peers: Peers{
			Heartbeat: Duration(250 * time.Millisecond), CutAfter: Duration(time.Second),
			IdleClose: Duration(time.Minute), GoneAfter: Duration(30 * time.Second), Conns: 4000,
		},
		Operators: Operators{Listener: listener},
		Platform: Platform{
			Timeout: Duration(2 * time.Second), RetryInterval: Duration(250 * time.Millisecond),
			MaxRetryInterval: Duration(time.Second), Wait: Duration(2 * time.Second), Readers: 2, ConfigReaders: 2,
		},
		Endpoints: Endpoints{
			ProbePath: "/healthz", ProbeEvery: Duration(5 * time.Second),
			KeyWindow: Duration(2 * time.Minute), KeySettle: Duration(5 * time.Second), KeyBytes: 4 << 20,
		},
		Services: Services{
			Floor: 0.6, FalseEjections: 0.05, RetryShare: 0.1, Queue: 16, Warmup: Duration(10 * time.Second),
			Timeout: Duration(30 * time.Second),
		},
		Retries: Retries{Slack: 1000, Use: 1, Window: Duration(10 * time.Second), MaxBurst: 10},
		Limits:  Limits{Policy: "lent", Window: Duration(5 * time.Second), Settle: Duration(2 * time.Second)},
		Cold:    Cold{Over: 1.2, Slack: 4},
		Memory:  Memory{Host: 256 << 20, Share: 0.15},
		Ejection: Ejection{
			First: Duration(5 * time.Second), Longest: Duration(5 * time.Minute), Forgive: Duration(2 * time.Minute),
			Successes: 8, RampStep: Duration(2 * time.Second),
		},
		Stop: Stop{Grace: Duration(time.Minute), Overrun: Duration(time.Minute), Notice: Duration(200 * time.Millisecond)},
		Log:  Log{Level: "info"},
	}
}

// Print formats settings as YAML, with secrets masked.
func Print(cfg any) (string, error) {
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "", "settings cannot be encoded as YAML")
	}
	return string(text), nil
}
