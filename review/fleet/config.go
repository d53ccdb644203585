package fleet

// Config is the operator's configuration, as the store holds it.
type Config struct {
	Version   uint64     `json:"version"`
	Limits    Limits     `json:"limits"`
	Listeners []Listener `json:"listeners"`
	Clusters  []Cluster  `json:"clusters"`
}

// Limits bound what clients send.
type Limits struct {
	MaxHeaderBytes int     `json:"maxHeaderBytes"`
	MaxBodyBytes   int     `json:"maxBodyBytes"`
	HeaderTimeout  float64 `json:"headerTimeoutS"`
	IdleTimeout    float64 `json:"idleTimeoutS"`
}

// Listener is a host with its routes.
type Listener struct {
	Host  string `json:"host"`
	Rules []Rule `json:"rules"`
}

// Rule is a route.
type Rule struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"`
	Aim      float64 `json:"aimS"`
	Priority int     `json:"priority"`
	Match    Match   `json:"match"`
	Action   Action  `json:"action"`
}

// Match says which requests go by a route.
type Match struct {
	PathPrefix string `json:"pathPrefix"`
}

// Action says where a route's requests go.
type Action struct {
	Service     string  `json:"service"`
	Timeout     float64 `json:"timeoutS"`
	MaxAttempts int     `json:"maxAttempts"`
}

// Cluster is a service.
type Cluster struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

// The services and the host of the site sdp-lynx, and the prefixes of its routes.
const (
	DocketDesk   = "docket-desk"
	FilingHub    = "filing-hub"
	Host         = "desk.example"
	PathList     = "/cause-list/"
	PathBook     = "/slot-book/"
	PathPay      = "/fee-pay/"
	PathStatus   = "/case-status/"
	healthPath   = "/health"
	mostConns    = 330
	longestTries = 2
)

// SiteConfig is a configuration with the routes of the site sdp-lynx.
func SiteConfig(version uint64) Config {
	rule := func(name, kind, prefix, service string, aim, timeout float64, priority int) Rule {
		return Rule{
			Name: name, Kind: kind, Aim: aim, Priority: priority, Match: Match{PathPrefix: prefix},
			Action: Action{Service: service, Timeout: timeout, MaxAttempts: longestTries},
		}
	}
	return Config{
		Version: version,
		Limits:  Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 3, IdleTimeout: 15},
		Listeners: []Listener{{Host: Host, Rules: []Rule{
			rule("cause-list", "safe", PathList, DocketDesk, 0.8, 2, 2), rule("slot-book", "unsafe", PathBook, DocketDesk, 0.8, 2.5, 1),
			rule("fee-pay", "unsafe", PathPay, FilingHub, 0.4, 1.2, 0), rule("case-status", "safe", PathStatus, FilingHub, 0.25, 0.75, 1),
		}}},
		Clusters: []Cluster{
			{Name: DocketDesk, HealthPath: healthPath, MaxConnections: mostConns, Protocol: "h1"},
			{Name: FilingHub, HealthPath: healthPath, MaxConnections: mostConns, Protocol: "h1"},
		},
	}
}
