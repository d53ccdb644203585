package node

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/quarantine"
	"github.com/lynxplank/lynxplank/table"
)

// sampleInterval is the time between two updates of the gauges: operators' tools scrape them every 5 s at most.
const sampleInterval = 2 * time.Second

// eventCounter counts the log lines of each event, and the lines that were suppressed.
type eventCounter interface {
	Counts() (seen map[int]uint64, suppressed uint64)
}

// sampler periodically copies the state of the node's components into the metrics, and logs calls to the platform's store,
// refused bodies and the use of slots. It is a kernel component.
type sampler struct {
	metrics  *metrics.Metrics
	follower *configsync.Follower
	egress   *egress.Egress
	ingress  *ingress.Ingress
	links    *peer.Manager
	// events is nil if log lines are not counted.
	events  eventCounter
	calls   *storeCalls
	tracker *quarantine.Tracker
	budget  *memory.Budget
	log     *zerolog.Logger

	// counted is the number of log lines of each event that the metrics include so far.
	counted map[int]uint64
	// refused is the number of refusals by the memory budget, as logged last.
	refused uint64
	// revisions are those of the active configuration, and since is when they were first seen.
	revisions table.Revisions
	since     time.Time
	stop      context.CancelFunc
	done      chan struct{}
}

// Start starts sampling.
func (s *sampler) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done, s.counted = cancel, make(chan struct{}), make(map[int]uint64)
	s.since = time.Now()
	go s.run(ctx)
	return nil
}

// Stop ends sampling and waits until it has ended.
func (s *sampler) Stop(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

func (s *sampler) run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.sample(now)
		}
	}
}

func (s *sampler) sample(now time.Time) {
	s.sampleConfig(now)
	s.sampleWork()
	s.egress.LogSlotUse()
	s.ingress.SampleThrottles()
	s.sampleMemory()
	s.sampleEvents()
	s.logCalls()
}

// sampleMemory updates the gauges of the memory used by bodies, and logs if the budget has refused more since the last sample.
func (s *sampler) sampleMemory() {
	use := s.budget.Usage()
	s.metrics.Gauge("bodies_bytes", float64(use.Used))
	s.metrics.Gauge("bodies_most_bytes", float64(use.Peak))
	s.metrics.Gauge("bodies_refused", float64(use.Refused))
	if use.Refused == s.refused {
		return
	}
	events.BodyMemoryExhausted.Log(s.log).Uint64("refused", use.Refused-s.refused).Int64("held", use.Used).Int64("size", use.Size).Send()
	s.refused = use.Refused
}

// logCalls logs the calls to the platform's store since the last sample, if there were any.
func (s *sampler) logCalls() {
	names, counts := s.calls.take()
	if len(names) == 0 {
		return
	}
	line := events.StoreCalls.Log(s.log)
	for _, name := range names {
		line.Int(name, counts[name])
	}
	line.Send()
}

// sampleConfig updates the gauges of the active configuration and of how long it has been unchanged.
func (s *sampler) sampleConfig(now time.Time) {
	s.metrics.Gauge("config_read_age_seconds", s.follower.ReadAge(now).Seconds())
	s.metrics.Gauge("config_word_age_seconds", s.follower.WordAge(now).Seconds())
	snap := s.follower.Snapshot()
	revisions := snap.State.Revisions()
	if revisions != s.revisions {
		s.revisions, s.since = revisions, now
	}
	ready := 0.0
	if snap.Ready {
		ready = 1
	}
	s.metrics.Gauge("ready", ready)
	s.metrics.Gauge("config_version", float64(revisions[table.SourceConfig]))
	s.metrics.Gauge("rows_revision", float64(revisions[table.SourceRows]))
	s.metrics.Gauge("config_unchanged_seconds", now.Sub(s.since).Seconds())
	s.metrics.Gauge("hosts", float64(len(snap.Hosts)))
}

// sampleWork updates the gauges of the work of the endpoints beside this node, of poison requests and of the links to peers.
// The gauges keep their outer names: draining endpoints are shown as leaving, retries as further sends, blocked requests as
// barred.
func (s *sampler) sampleWork() {
	var busy, waiting, trials, trialsRunning, trialRoom, draining, first, retries, callsOfRetries, outOfRetries float64
	statuses := s.egress.Statuses()
	s.sampleServices(statuses)
	for _, e := range statuses {
		busy += float64(e.Busy)
		waiting += float64(e.Waiting)
		if e.Trial {
			trials++
		}
		trialsRunning += float64(e.TrialsRunning)
		trialRoom += float64(e.TrialRoom)
		if e.Draining {
			draining++
		}
		first += float64(e.Arrivals.FirstSends)
		retries += float64(e.Arrivals.Retries)
		callsOfRetries += e.Arrivals.CallsOfRetries
		outOfRetries += float64(e.Arrivals.RetriesRefused)
	}
	suspected, blocked := s.tracker.Counts()
	s.metrics.Gauge("fatal_suspected", float64(suspected))
	s.metrics.Gauge("fatal_barred", float64(blocked))
	dialed, accepted := s.links.Links()
	s.metrics.Gauge("slots_busy", busy)
	s.metrics.Gauge("queued", waiting)
	s.metrics.Gauge("endpoints_on_trial", trials)
	s.metrics.Gauge("trials_running", trialsRunning)
	s.metrics.Gauge("trial_room", trialRoom)
	s.metrics.Gauge("endpoints_leaving", draining)
	s.metrics.Gauge("sends_first", first)
	s.metrics.Gauge("sends_further", retries)
	s.metrics.Gauge("sends_of_further", callsOfRetries)
	s.metrics.Gauge("sends_spent", outOfRetries)
	s.metrics.Gauge("links_dialed", float64(dialed))
	s.metrics.Gauge("links_accepted", float64(accepted))
	s.metrics.Gauge("peer_bytes", float64(s.links.Bytes()))
}

// serviceSample adds up the gauges of one service's endpoints beside this node.
type serviceSample struct {
	rates     metrics.MaxRates
	reclaimed float64
	nested    admission.Counts
}

// with returns the sample with one more endpoint.
func (s serviceSample) with(e egress.Status) serviceSample {
	if e.MaxRate != nil {
		s.rates.Endpoints++
	}
	s.rates.Refused += float64(e.RateRefused)
	s.rates.Delayed += float64(e.RateDelayed)
	s.reclaimed += float64(e.Reclaimed)
	s.nested.NestedStarts += e.NestedStarts
	s.nested.Displaced += e.Displaced
	return s
}

// sampleServices updates the gauges by service.
func (s *sampler) sampleServices(statuses []egress.Status) {
	services := make(map[string]serviceSample)
	for _, e := range statuses {
		services[e.Service] = services[e.Service].with(e)
	}
	for name, sample := range services {
		m := s.metrics.Service(name)
		m.SetMaxRates(sample.rates)
		m.SetReclaimedSlots(sample.reclaimed)
		m.SetNested(sample.nested.NestedStarts, sample.nested.Displaced)
	}
}

// sampleEvents adds the log lines of each event since the last sample to the metrics.
func (s *sampler) sampleEvents() {
	if s.events == nil {
		return
	}
	seen, suppressed := s.events.Counts()
	for event, count := range seen {
		if more := count - s.counted[event]; more > 0 {
			s.metrics.Events(strconv.Itoa(event), int64(more)) //nolint:gosec // the lines of two seconds fit
		}
	}
	s.counted = seen
	s.metrics.Gauge("log_lines_left_out", float64(suppressed))
}
