package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/relay"
	"github.com/lynxplank/lynxplank/standin/store"
)

// Config is one run.
type Config struct {
	// Bin holds the programs, Dir takes the logs and settings of the run.
	Bin, Dir string
	// Seed draws the plan.
	Seed uint64
	// Members and Halls are the size of the fleet.
	Members, Halls int
	// Length is the time in which actions begin.
	Length time.Duration
	// Rate is how many requests the callers send a second.
	Rate int
	// Fatal is how many requests that end the endpoints that run them come again and again.
	Fatal int
	// Stops is how many series of signals stop nodes besides, under work that may outlast their grace.
	Stops int
	// Suspensions is how many planned stops besides have their node's process suspended meanwhile.
	Suspensions int
	// Stacks has nodes that outlive the grace of a planned stop write the stacks of their goroutines to their logs.
	Stacks bool
	// Rates is how often an endpoint states, for some seconds, how many requests a second it takes.
	Rates int
	// Silences is how often open connections go silent without a reset.
	Silences int
	// Hangs is how often an endpoint hangs by spells, with the nodes' setting to give up slots on.
	Hangs int
	// Leaves is how often an endpoint leaves around ends of its node; the endpoints announce themselves then.
	Leaves int
	// Scarce is how many planned stops nodes with little processor time get, beside callers whose connections lie idle.
	Scarce int
	// Ahead is how many callers send lookups ahead on kept connections, with an idle timeout that is shorter than slow work.
	Ahead int
	// Steps is how often an endpoint starts again under its name while its host's time of day steps, and leaves; endpoints announce
	// themselves then.
	Steps int
	// Spoils is how often an endpoint answers with bytes that have no end, Race whether the programs have the race detector.
	Spoils int
	Race   bool
	// Limits is how often operators change the limits for callers, some of whose connections rest.
	Limits int
	// Configs is how often the platform's operators write configurations in quick succession.
	Configs int
	// Platform gives the nodes the settings that they have on the users' platform.
	Platform bool
	// Calm leaves out the faults that Plan draws.
	Calm bool
	// Nested has the endpoints make a call through their nodes for each request.
	Nested bool
}

// Report is what a run showed.
type Report struct {
	// Plan is what was done.
	Plan []Action
	// Stops are the signals that were sent in series, a line for each stop, with the times of day in UTC.
	Stops []string
	// Results are what the callers were told.
	Results []demo.Result
	// Records are what the endpoints have run.
	Records []map[string]backend.Run
	// Drains counts the drains that could be checked, Changes the rows whose value in force was, Rates the stated rates.
	Drains, Changes, Rates int
	// Silences counts the nodes for which it could be checked that a change at the moment of a silence was in force in time.
	Silences int
	// Leavings counts the acknowledged leavings that could be checked, Late the heartbeats that came after them.
	Leavings, Late int
	// Configs counts the nodes on which a configuration was looked for in time.
	Configs int
	// MostResident is the most memory of a node in MB, if it was watched; Sized counts the requests within changing limits.
	MostResident, Sized int
	// Nested counts the calls that endpoints made.
	Nested NestedCalls
	// Yielded counts the requests that gave up a slot at a hanging endpoint, as far as the nodes' logs name them.
	Yielded int
	// Fatal is how often each fatal request began to run until all was healed.
	Fatal []int
	// Broken says which promises were broken; empty when all were kept.
	Broken []string
}

const (
	// serviceName is the service of every endpoint, serviceCells what operators set for it.
	serviceName  = "booking-desk"
	serviceCells = "floor: 50%, false_ejections: 1"
	// nodeSettings give a stop longer than any request's deadline, with the queue before it.
	nodeSettings = "stop: {grace: 20s}\n"
	// platformSettings are those of the users' platform for ejections.
	platformSettings = "ejection: {first: 1s, longest: 8s, forgive: 20s, successes: 3, ramp_step: 500ms}\n"
	// aheadIdleTimeout has reads of kept connections time out while requests are under way.
	aheadIdleTimeout = 300 * time.Millisecond
)

// run is a run under way.
type run struct {
	cfg   Config
	plan  []Action
	fleet *demo.Fleet
	// links stand before each node's peers listener, stores before the store for each node.
	links  []*relay.Proxy
	stores []*relay.Proxy
	// start is when the callers began.
	start time.Time
	// procs, ends and rows keep the actions on one process, one endpoint and one row apart, platform those on the store.
	procs, ends, rows []sync.Mutex
	platform          sync.Mutex
	watch             *watch

	mu     sync.Mutex
	report Report
	// weights are the values that were accepted last, unknown those whose fate is not known.
	weights map[string]string
	unknown map[string]bool
	// stops are the planned stops by series of signals.
	stops []stopped
	// limits are those that operators have set for callers.
	limits []acceptedLimits
	// config is the version of the newest configuration, looks the checks of configurations under way.
	config uint64
	looks  sync.WaitGroup
	// boots are the incarnations of endpoints that announce themselves, by member.
	boots []*boot
}

func settingsOf(cfg Config) string {
	settings := nodeSettings
	switch {
	case cfg.Scarce > 0:
		settings = scarceSettings
	case cfg.Stops+cfg.Suspensions > 0:
		settings = stopSettings
	}
	if cfg.Platform {
		settings += platformSettings
	}
	if cfg.Platform || cfg.Spoils > 0 {
		settings += spoilSettings
	}
	switch {
	case cfg.Nested:
		settings += nestedSettings
	case cfg.Hangs > 0:
		settings += hangSettings
	}
	return settings
}

// Run does one run; it fails only when the run itself could not be done.
func Run(cfg Config) (Report, error) {
	fleet, err := demo.NewFleet(cfg.Bin, cfg.Dir, cfg.Members, cfg.Halls, settingsOf(cfg))
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	if cfg.Nested {
		fleet.Routes = nestedRoute
	}
	if cfg.Ahead > 0 {
		fleet.CallersIdleTimeout = aheadIdleTimeout
	}
	r := &run{
		cfg: cfg, plan: Plan(cfg.Seed, cfg.Members, cfg.Length), fleet: fleet,
		procs: make([]sync.Mutex, cfg.Members), ends: make([]sync.Mutex, cfg.Members), rows: make([]sync.Mutex, cfg.Members),
		weights: make(map[string]string), unknown: make(map[string]bool),
	}
	if cfg.Calm {
		r.plan = nil
	}
	r.plan = append(r.plan, PlanStops(cfg.Seed, cfg.Members, cfg.Stops, cfg.Length)...)
	r.plan = append(r.plan, PlanSuspensions(cfg.Seed, cfg.Members, cfg.Suspensions, cfg.Length)...)
	r.plan = append(r.plan, PlanScarce(cfg.Seed, cfg.Members, cfg.Scarce, cfg.Length)...)
	r.plan = append(r.plan, PlanRates(cfg.Seed, cfg.Members, cfg.Rates, cfg.Length)...)
	r.plan = append(r.plan, PlanSilences(cfg.Seed, cfg.Members, cfg.Silences, cfg.Length)...)
	r.plan = append(r.plan, PlanHangs(cfg.Seed, cfg.Members, cfg.Hangs, cfg.Length)...)
	r.plan = append(r.plan, PlanSpoils(cfg.Seed, cfg.Members, cfg.Spoils, cfg.Length)...)
	r.plan = append(r.plan, PlanLimits(cfg.Seed, cfg.Members, cfg.Limits, cfg.Length)...)
	r.plan = append(r.plan, PlanConfigs(cfg.Seed, cfg.Members, cfg.Configs, cfg.Length)...)
	if cfg.Configs > 0 {
		r.config = 1
		fleet.Configuration = configurationOf(r.config)
	}
	fleet.PlatformSettings = cfg.Platform
	r.plan = withLeaves(r.plan, append(PlanLeaves(cfg.Seed, cfg.Members, cfg.Leaves, cfg.Length), PlanSteps(cfg.Seed, cfg.Members, cfg.Steps, cfg.Length)...))
	r.report.Plan = r.plan
	if err := r.proxy(); err != nil {
		return Report{}, err
	}
	defer r.closeProxies()
	if cfg.Leaves+cfg.Steps > 0 {
		fleet.AnnouncedService = serviceName
		defer r.announceEndpoints()()
	}
	if err := fleet.Start(serviceName, r.behaviour(normal()), serviceCells); err != nil {
		return Report{}, err
	}
	r.watch = newWatch(fleet, r.breaks)
	r.disturb()
	r.settle()
	err = r.judge()
	return r.report, err
}

// proxy puts a proxy before each node's peers and before the store for each node.
func (r *run) proxy() error {
	for _, m := range r.fleet.Members {
		link, err := relay.New(m.Peers)
		if err != nil {
			return err
		}
		r.links = append(r.links, link)
		toStore, err := relay.New(r.fleet.PlatformAddress())
		if err != nil {
			return err
		}
		r.stores = append(r.stores, toStore)
	}
	r.fleet.PeerAddress = func(m *demo.Member) string { return r.links[r.index(m)].Address() }
	r.fleet.StoreAddress = func(m *demo.Member) string { return r.stores[r.index(m)].Address() }
	return nil
}

func (r *run) closeProxies() {
	for i := range r.links {
		r.links[i].Close()
		r.stores[i].Close()
	}
}

// index returns a member's number.
func (r *run) index(m *demo.Member) int {
	for i, other := range r.fleet.Members {
		if other == m {
			return i
		}
	}
	return 0
}

// disturb lets the plan run its course while callers send, and ends with everything healed.
func (r *run) disturb() {
	targets := make([]string, 0, len(r.fleet.Members))
	for _, m := range r.fleet.Members {
		targets = append(targets, m.Callers)
	}
	load := demo.NewLoad(targets)
	if r.cfg.Stops+r.cfg.Suspensions+r.cfg.Scarce > 0 {
		load.Deadline = stopDeadline
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers, actions sync.WaitGroup
	r.start = time.Now()
	callers.Go(func() { load.Run(ctx, r.cfg.Rate) })
	if r.cfg.Ahead > 0 {
		callers.Go(func() { load.RunAhead(ctx, r.cfg.Ahead) })
	}
	if r.cfg.Scarce > 0 {
		callers.Go(func() { load.RunIdle(ctx, idleCallers*r.cfg.Members) })
	}
	for i := range r.cfg.Fatal {
		callers.Go(func() { r.sendFatal(ctx, i, targets) })
	}
	for i := range restingCallers * min(r.cfg.Limits, 1) {
		callers.Go(func() { r.callResting(ctx, i) })
	}
	if r.cfg.Spoils > 0 {
		callers.Go(func() { r.watchMemory(ctx) })
	}
	r.watch.begin()
	for _, a := range r.plan {
		actions.Go(func() {
			time.Sleep(time.Until(r.start.Add(a.At)))
			r.do(a)
		})
	}
	actions.Wait()
	r.looks.Wait()
	r.heal()
	cancel()
	callers.Wait()
	r.watch.end()
	r.report.Results = load.Results()
}

// heal takes back whatever an action may have left.
func (r *run) heal() {
	for i, m := range r.fleet.Members {
		for _, p := range []*relay.Proxy{r.links[i], r.stores[i]} {
			p.Hold(relay.To, false)
			p.Hold(relay.From, false)
			p.Slow(0)
		}
		r.must("endpoint", m.Behave(r.behaviour(normal())))
	}
	r.must("store", r.fleet.SetFaults(store.Faults{}))
}

// breaks notes a broken promise.
func (r *run) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, args...))
}

// must notes that something failed which must not.
func (r *run) must(what string, err error) {
	if err != nil {
		r.breaks("%s: %v", what, err)
	}
}
