package settings

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
)

// Daemon is the settings of a node.
type Daemon struct {
	// Node says who and where the node is.
	Node Node `yaml:"node"`
	// Callers is the listener for callers' requests.
	Callers Callers `yaml:"callers"`
	// Peers is the listener and the links between nodes.
	Peers Peers `yaml:"peers"`
	// Operators is the listener for operators.
	Operators Operators `yaml:"operators"`
	// Platform says where the platform is and how it is read.
	Platform Platform `yaml:"platform"`
	// Endpoints is how the node treats the endpoints beside it.
	Endpoints Endpoints `yaml:"endpoints"`
	// Announced is how endpoints announce themselves to the node beside them.
	Announced Announced `yaml:"announced"`
	// Readiness is the listener that tells whether the node may get callers.
	Readiness Readiness `yaml:"readiness"`
	// Services is what the platform's configuration leaves open of a service.
	Services Services `yaml:"services"`
	// Retries is the fleet's budget of retries.
	Retries Retries `yaml:"retries"`
	// Limits is how customers are kept to their limits.
	Limits Limits `yaml:"limits"`
	// Cold is what cold endpoints bear besides what their service says.
	Cold Cold `yaml:"cold"`
	// Memory is what the node may hold of bodies.
	Memory Memory `yaml:"memory"`
	// Ejection is how long endpoints are taken out and how they come back.
	Ejection Ejection `yaml:"ejection"`
	// Stop is the planned stop.
	Stop Stop `yaml:"stop"`
	// Log is what is logged.
	Log Log `yaml:"log"`
}

// Node says who and where a node is.
type Node struct {
	// ID is the host's name in the platform's list.
	ID string `yaml:"id" validate:"required"`
	// Hall is where the host stands.
	Hall string `yaml:"hall" validate:"required"`
	// Regions are the regions of the halls of which the table names none; data of some routes and customers may be in some regions
	// alone.
	Regions map[string]string `yaml:"regions"`
}

// Listener bounds what an HTTP listener takes.
type Listener struct {
	// Listen is the IP and port.
	Listen Address `yaml:"listen" validate:"required"`
	// HeaderBytes bounds a request's header.
	HeaderBytes Size `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// Conns bounds the connections held at once.
	Conns int `yaml:"conns" validate:"min=1"`
	// HeaderTimeout bounds the reading of a header.
	HeaderTimeout Duration `yaml:"header_timeout" validate:"min=1"`
	// IdleTimeout bounds the wait for a connection's next request.
	IdleTimeout Duration `yaml:"idle_timeout" validate:"min=1"`
}

// Callers is the listener for callers' requests.
type Callers struct {
	Listener `yaml:",inline"`
	// BodyBytes bounds a request's body.
	BodyBytes Size `yaml:"body_bytes" validate:"min=1"`
	// Contract says which header fields callers and endpoints use: the product's own, or the platform's.
	Contract string `yaml:"contract" validate:"oneof=own platform"`
}

// Announced is how endpoints announce themselves to the node beside them.
type Announced struct {
	// Listen is the IP and port for heartbeats; empty if endpoints are rows of the table.
	Listen Address `yaml:"listen"`
	// Address is where the endpoint beside the node listens, to ask it who it is after a restart of the node.
	Address Address `yaml:"address"`
	// Service is the service of the endpoint beside the node.
	Service string `yaml:"service"`
}

// Readiness is the listener that tells whether the node may get callers.
type Readiness struct {
	// Listen is the IP and port; empty for none.
	Listen Address `yaml:"listen"`
}

// Services is what the platform's configuration leaves open of a service, as the columns of a service's row.
type Services struct {
	// Floor is the share of capacity that ejections never touch, 0 to 1.
	Floor float64 `yaml:"floor" validate:"min=0,max=1"`
	// FalseEjections is how many wrong ejections per endpoint and day are bearable.
	FalseEjections float64 `yaml:"false_ejections" validate:"min=0"`
	// RetryShare is the share of requests that may be sent again, 0 to 1.
	RetryShare float64 `yaml:"retry_share" validate:"min=0,max=1"`
	// Queue is how many requests may wait beside each endpoint.
	Queue int `yaml:"queue" validate:"min=0"`
	// Warmup is how long a new endpoint's share grows.
	Warmup Duration `yaml:"warmup"`
	// Timeout bounds a request whose route says nothing.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
}

// Retries is the fleet's budget of retries besides the services' shares.
type Retries struct {
	// Slack is how many retries of a service the whole fleet may make in a window beyond the share.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Use is the part of the budget that the nodes use, share and slack alike, 0 to 1. The rest is for what they count by
	// its chance only: the calls that a request makes when it runs again.
	Use float64 `yaml:"use" validate:"min=0,max=1"`
	// Window is the time over which the fleet's retries are counted.
	Window Duration `yaml:"window" validate:"min=1000000"`
	// MostBurst bounds the part of the slack that one endpoint's node holds.
	MaxBurst float64 `yaml:"most_burst" validate:"min=0"`
}

// Limits is how customers are kept to their limits over all nodes.
type Limits struct {
	// Policy says how: lent has a few homes of each limit lend it to the nodes that need it, even gives each node an equal part.
	Policy string `yaml:"policy" validate:"oneof=lent even"`
	// Window is the time over which requests are counted.
	Window Duration `yaml:"window" validate:"min=1000000"`
	// Slack is how many requests of a customer beyond its limit are bearable in a window. Nodes that reach no home pass a part of
	// it; the rest is for homes that change while the list of hosts does.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Settle is the time in which a change of the hosts is known everywhere; a new home of a limit lends nothing before.
	Settle Duration `yaml:"settle"`
}

// Cold is what an endpoint bears while it is cold: in no second more than its service's cold rate times Over and Slack requests.
type Cold struct {
	// Over is how many times the cold rate one second may bring.
	Over float64 `yaml:"over" validate:"min=1"`
	// Slack is how many requests may come on top.
	Slack float64 `yaml:"slack" validate:"min=2"`
}

// Memory is what the node may hold of requests' and answers' bodies for those who are slow to take them.
type Memory struct {
	// Host is the memory that the node's process may use.
	Host Size `yaml:"host" validate:"min=33554432"`
	// Share is the part of it that bodies may take, 0.01 to 0.3: besides them a process needs room for its own work, and as much again
	// for what it no longer uses and has not given back.
	Share float64 `yaml:"share" validate:"min=0.01,max=0.3"`
}

// Bodies is what bodies may take, in bytes.
func (m Memory) Bodies() int64 { return int64(float64(m.Host) * m.Share) }

// Peers is the listener and the links between nodes.
type Peers struct {
	// Listen is the IP and port.
	Listen Address `yaml:"listen" validate:"required"`
	// Advertise is the IP and port that other nodes dial; Listen if empty.
	Advertise Address `yaml:"advertise"`
	// Seeds are peers to start from while the platform does not answer.
	Seeds []Address `yaml:"seeds"`
	// SeedsPort replaces the port of each seed, for seeds that are known by another listener; 0 keeps it.
	SeedsPort int `yaml:"seeds_port" validate:"min=0,max=65535"`
	// Heartbeat is the time between heartbeats.
	Heartbeat Duration `yaml:"heartbeat" validate:"min=10000000"`
	// CutAfter is how long a link may be silent before it gets no new work.
	CutAfter Duration `yaml:"cut_after" validate:"min=30000000"`
	// IdleClose is how long a link may carry no request before it is closed.
	IdleClose Duration `yaml:"idle_close" validate:"min=1000000000"`
	// GoneAfter is how long a host must be out of reach before its line is taken out of the table.
	GoneAfter Duration `yaml:"gone_after" validate:"min=1"`
	// Conns bounds the peers connected at once.
	Conns int `yaml:"conns" validate:"min=1"`
	// TLS turns on mutual TLS.
	TLS TLS `yaml:"tls"`
}

// TLS names the files of mutual TLS; all three or none.
type TLS struct {
	// Cert is the node's certificate chain, PEM.
	Cert string `yaml:"cert" validate:"required_with=Key CA"`
	// Key is the certificate's key, PEM.
	Key string `yaml:"key" validate:"required_with=Cert CA"`
	// CA signs every peer's certificate, PEM.
	CA string `yaml:"ca" validate:"required_with=Cert Key"`
}

// Operators is the listener for operators.
type Operators struct {
	Listener `yaml:",inline"`
	// Token must come with every request.
	Token Secret `yaml:"token" validate:"required"`
}

// Platform says where the platform is and how it is read.
type Platform struct {
	// Address is the IP and port.
	Address Address `yaml:"address" validate:"required"`
	// Token is sent with every call.
	Token Secret `yaml:"token"`
	// Timeout bounds a call.
	Timeout Duration `yaml:"timeout" validate:"min=1"`
	// Retry is the time between the first looks at a platform that fails.
	RetryInterval Duration `yaml:"retry" validate:"min=10000000"`
	// RetryMost is what that time doubles up to while the platform goes on failing.
	MaxRetryInterval Duration `yaml:"retry_most" validate:"min=10000000"`
	// Wait is how long one look waits for a change.
	Wait Duration `yaml:"wait" validate:"min=10000000"`
	// Readers is how many nodes of a hall read the product's own table there.
	Readers int `yaml:"readers" validate:"min=1"`
	// ConfigReaders is how many read the configuration of the platform's operators.
	ConfigReaders int `yaml:"config_readers" validate:"min=1"`
	// Config makes the node read the configuration that the platform's operators keep.
	Config bool `yaml:"config"`
}

// Endpoints is how the node treats the endpoints beside it.
type Endpoints struct {
	// ProbePath is asked of an endpoint that said it is leaving, to see whether it still is.
	ProbePath string `yaml:"probe_path" validate:"startswith=/"`
	// ProbeEvery is the time between these questions.
	ProbeEvery Duration `yaml:"probe_every" validate:"min=1"`
	// KeyWindow is how long an idempotency key is remembered.
	KeyWindow Duration `yaml:"key_window" validate:"min=1"`
	// KeySettle is how long a change of a service's endpoints may take to be in force everywhere; keys and the endpoints'
	// parts of the retries go by it.
	KeySettle Duration `yaml:"key_settle"`
	// KeyBytes bounds the memory of keys and kept answers.
	KeyBytes Size `yaml:"key_bytes" validate:"min=65536"`
}

// Stop is the planned stop.
type Stop struct {
	// Grace is how long after a signal to stop the node is killed at the earliest.
	Grace Duration `yaml:"grace"`
	// Margin is how much earlier callers have been told all that the node can tell without an endpoint's answer.
	Margin Duration `yaml:"margin"`
	// Overrun is how long after the grace the node goes on with what endpoints work on, unless it is killed.
	Overrun Duration `yaml:"overrun"`
	// Notice is how long a stopping node goes on as before, so that callers and peers find their way elsewhere.
	Notice Duration `yaml:"notice"`
}

// Log is what is logged.
type Log struct {
	// Level is the least level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Ejection is how long endpoints are taken out and how they come back; see eject.Config.
type Ejection struct {
	// First is how long the first ejection of an endpoint lasts; each further one doubles, up to Longest.
	First   Duration `yaml:"first" validate:"min=1"`
	Longest Duration `yaml:"longest" validate:"min=1"`
	// Forgive is how long an endpoint must serve well before its count of ejections is halved.
	Forgive Duration `yaml:"forgive" validate:"min=1"`
	// Successes is how many good answers in a row end the trickle.
	Successes int `yaml:"successes" validate:"min=1"`
	// RampStep is how long each step of the growing share lasts.
	RampStep Duration `yaml:"ramp_step" validate:"min=1"`
}

// DefaultDaemon returns the settings of a node whose file says nothing.
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
			MaxRetryInterval: Duration(time.Second), Wait: Duration(10 * time.Second), Readers: 2, ConfigReaders: 2,
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

// Print returns settings as YAML with secrets masked.
func Print(cfg any) (string, error) {
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "", "settings cannot be printed")
	}
	return string(text), nil
}
