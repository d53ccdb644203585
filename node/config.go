package node

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/lynxplank/lynxplank/announce"
	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/pipeline"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/serve"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/table"
)

// interHallRTT is the assumed round-trip time to another hall, 1.5 ms each way. It stands in for a measurement of the links
// between halls.
const interHallRTT = 3 * time.Millisecond

// announceDelay is how long a node waits for the first heartbeat of its endpoint before it announces its host without an
// endpoint. It is slightly longer than the interval between two heartbeats.
const announceDelay = 2 * time.Second

// callerLimits returns a function that yields the current limits of the callers' listener: those of the table's callers row
// if there is one, else those of the settings. The number of connections always comes from the settings.
func (n *Node) callerLimits(state func() *table.State) func() pipeline.Limits {
	c := n.cfg.Callers
	base := pipeline.Limits{
		HeaderBytes: int(c.HeaderBytes), BodyBytes: int64(c.BodyBytes), Conns: c.Conns,
		HeaderTimeout: c.HeaderTimeout.Std(), IdleTimeout: c.IdleTimeout.Std(),
	}
	return func() pipeline.Limits {
		row, ok := state().Callers()
		if !ok {
			return base
		}
		return pipeline.Limits{
			HeaderBytes: int(row.Value.HeaderBytes), BodyBytes: int64(row.Value.BodyBytes), Conns: base.Conns,
			HeaderTimeout: time.Duration(row.Value.HeaderTimeout), IdleTimeout: time.Duration(row.Value.IdleTimeout),
		}
	}
}

// contract returns the header contract that the settings select for callers and endpoints.
func (n *Node) contract() contract.Contract {
	if n.cfg.Callers.Contract == "platform" {
		return platform.Contract{}
	}
	return contract.Native{}
}

// limits converts the limits that the settings give for a listener.
func limits(l settings.Listener) serve.Limits {
	return serve.Limits{
		HeaderBytes: int(l.HeaderBytes), Conns: l.Conns,
		HeaderTimeout: l.HeaderTimeout.Std(), IdleTimeout: l.IdleTimeout.Std(),
	}
}

func (n *Node) peerConfig(incarnation uint64, config *tls.Config) peer.Config {
	p := n.cfg.Peers
	return peer.Config{
		Node: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, Incarnation: incarnation, Listen: p.Listen.String(),
		Heartbeat: p.Heartbeat.Std(), EchoTimeout: p.CutAfter.Std(), IdleTimeout: p.IdleClose.Std(), MaxConns: p.Conns,
		TLS: config,
	}
}

func (n *Node) followerConfig() configsync.Config {
	c := configsync.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall,
		RetryInterval: n.cfg.Platform.RetryInterval.Std(), MaxRetryInterval: n.cfg.Platform.MaxRetryInterval.Std(),
		LongPollTimeout: n.cfg.Platform.Wait.Std(), Timeout: n.cfg.Platform.Timeout.Std(),
		Readers: n.cfg.Platform.Readers, ConfigReaders: n.cfg.Platform.ConfigReaders,
		WithConfig: n.cfg.Platform.Config, ServiceDefaults: n.policy(), Regions: n.cfg.Node.Regions,
	}
	for _, seed := range n.cfg.Peers.Seeds {
		address := seed.AddrPort
		if n.cfg.Peers.SeedsPort != 0 {
			address = netip.AddrPortFrom(address.Addr(), uint16(n.cfg.Peers.SeedsPort)) //nolint:gosec // checked
		}
		if address != n.cfg.Peers.Listen.AddrPort {
			c.Seeds = append(c.Seeds, address.String())
		}
	}
	return c
}

func (n *Node) ejectionConfig() eject.Config {
	c := n.cfg.Ejection
	cfg := eject.DefaultConfig()
	cfg.BaseEjectionTime, cfg.MaxEjectionTime, cfg.ForgiveInterval = c.First.Std(), c.Longest.Std(), c.Forgive.Std()
	cfg.TrickleSuccesses, cfg.RampStep = c.Successes, c.RampStep.Std()
	return cfg
}

// policy returns the values of a service that the platform's configuration does not contain.
func (n *Node) policy() table.Service {
	c := n.cfg.Services
	return table.Service{
		Floor: table.Percent(c.Floor), FalseEjections: table.Rate(c.FalseEjections),
		RetryBudget: table.Percent(c.RetryShare * n.cfg.Retries.Use), Queue: table.Count(c.Queue), //nolint:gosec // checked
		Warmup: table.Duration(c.Warmup), Timeout: table.Duration(c.Timeout),
	}
}

// announceConfig returns how the node announces its host in the table: the announcement itself and the timing.
func (n *Node) announceConfig(incarnation uint64) announce.Config {
	address := n.cfg.Peers.Advertise
	if !address.IsValid() {
		address = n.cfg.Peers.Listen
	}
	delay := time.Duration(0)
	if n.cfg.Announced.Listen.IsValid() {
		delay = announceDelay
	}
	return announce.Config{
		FirstDelay: delay,
		Host: table.HostInfo{
			ID: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, Address: address.String(), Incarnation: incarnation,
		},
		RetryInterval: n.cfg.Platform.RetryInterval.Std(), MaxRetryInterval: n.cfg.Platform.MaxRetryInterval.Std(),
		Timeout: n.cfg.Platform.Timeout.Std(),
	}
}

func (n *Node) egressConfig(incarnation uint64) egress.Config {
	c := n.cfg.Endpoints
	return egress.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, Incarnation: incarnation, ProbePath: c.ProbePath, ProbeInterval: c.ProbeEvery.Std(),
		KeyWindow: c.KeyWindow.Std(), ConvergenceTime: c.KeySettle.Std(), KeyBytes: int(c.KeyBytes),
		Contract: n.contract(), Breaker: breaker.DefaultConfig(),
		Retries: retry.FleetSlack{
			Slack: n.cfg.Retries.Slack * n.cfg.Retries.Use, Window: n.cfg.Retries.Window.Std(),
			MaxShare: n.cfg.Retries.MaxBurst,
		},
		NestedFirst: n.cfg.Overload.NestedFirst, ReclaimSlots: n.cfg.Overload.ReclaimSlots, SuspectRoom: n.cfg.Overload.SuspectRoom,
		ColdLimit: coldstart.Bound{RateFactor: n.cfg.Cold.Over, Slack: n.cfg.Cold.Slack},
	}
}

// fallbackShare is the share of the slack of customers' limits that is left to nodes which reach no owner of a limit.
const fallbackShare = 0.2

// rateLimitConfig returns how customers' rate limits are enforced.
func (n *Node) rateLimitConfig() ratelimit.Config {
	c := n.cfg.Limits
	return ratelimit.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, Policy: ratelimit.Policy(c.Policy), Settle: c.Settle.Std(),
		Window: c.Window.Std(), Fallback: int(c.Slack * fallbackShare),
	}
}

func (n *Node) ingressConfig(incarnation uint64) ingress.Config {
	return ingress.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, Service: n.cfg.Announced.Service, Incarnation: incarnation, Contract: n.contract(),
		NestedFirst: n.cfg.Overload.NestedFirst, EarlyRefusal: n.cfg.Overload.EarlyRefusal, SuspectRoom: n.cfg.Overload.SuspectRoom,
	}
}

// tls returns the TLS configuration for links to peers, nil if the settings have none. It fails with BadSetting if a file
// cannot be used.
func (n *Node) tls() (*tls.Config, error) {
	t := n.cfg.Peers.TLS
	if t.Cert == "" {
		return nil, nil //nolint:nilnil // no TLS is a valid setting
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSetting, "peers.tls", "certificate and key cannot be loaded")
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSetting, "peers.tls.ca", "CA file cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.BadSetting, "peers.tls.ca", "CA file contains no PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
