package node

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/quarantine"
	"github.com/lynxplank/lynxplank/table"
)

// sampleEvery is the time between two looks at what the gauges show: operators' tools look every 5 s at most.
const sampleEvery = 2 * time.Second

// eventCounter tells how many lines of the log there were of each event, and how many were left out.
type eventCounter interface {
	Counts() (seen map[int]uint64, left uint64)
}

// sampler brings into the metrics what the node's parts hold; it is a kernel component.
type sampler struct {
	metrics  *metrics.Metrics
	follower *configsync.Follower
	egress   *egress.Egress
	links    *peer.Manager
	// events is nil where the log is not counted.
	events eventCounter
	calls  *storeCalls
	keeper *quarantine.Tracker
	budget *memory.Budget
	log    *zerolog.Logger

	// counted is how many lines of each event the metrics show.
	counted map[int]uint64
	// refused is how often there was no room in the memory, as was told last.
	refused uint64
	// revision and since are the configuration in force and when it was first seen.
	revision table.Revisions
	since    time.Time
	stop     context.CancelFunc
	done     chan struct{}
}

// Start begins to sample.
func (s *sampler) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done, s.counted = cancel, make(chan struct{}), make(map[int]uint64)
	s.since = time.Now()
	go s.run(ctx)
	return nil
}

// Stop ends the sampling.
func (s *sampler) Stop(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

func (s *sampler) run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(sampleEvery)
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
	s.sampleMemory()
	s.sampleEvents()
	s.tellCalls()
}

// sampleMemory shows what is held of bodies, and tells when there was no room for some.
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

// tellCalls logs the calls to the platform's store since the last look, if there were any.
func (s *sampler) tellCalls() {
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

// sampleConfig shows what is in force here and since when.
func (s *sampler) sampleConfig(now time.Time) {
	snap := s.follower.Snapshot()
	held := snap.State.Revisions()
	if held != s.revision {
		s.revision, s.since = held, now
	}
	ready := 0.0
	if snap.Ready {
		ready = 1
	}
	s.metrics.Gauge("ready", ready)
	s.metrics.Gauge("config_version", float64(held[table.SourceConfig]))
	s.metrics.Gauge("rows_revision", float64(held[table.SourceRows]))
	s.metrics.Gauge("config_unchanged_seconds", now.Sub(s.since).Seconds())
	s.metrics.Gauge("hosts", float64(len(snap.Hosts)))
}

// sampleWork shows what the endpoints beside this node have to do, and the links.
func (s *sampler) sampleWork() {
	var busy, waiting, trials, leaving, first, further, ofFurther, spent float64
	for _, e := range s.egress.Statuses() {
		busy += float64(e.Busy)
		waiting += float64(e.Waiting)
		if e.Trial {
			trials++
		}
		if e.Draining {
			leaving++
		}
		first += float64(e.Arrivals.FirstSends)
		further += float64(e.Arrivals.Retries)
		ofFurther += e.Arrivals.CallsOfRetries
		spent += float64(e.Arrivals.RetriesRefused)
	}
	suspected, barred := s.keeper.Counts()
	s.metrics.Gauge("fatal_suspected", float64(suspected))
	s.metrics.Gauge("fatal_barred", float64(barred))
	dialed, accepted := s.links.Links()
	s.metrics.Gauge("slots_busy", busy)
	s.metrics.Gauge("queued", waiting)
	s.metrics.Gauge("endpoints_on_trial", trials)
	s.metrics.Gauge("endpoints_leaving", leaving)
	s.metrics.Gauge("sends_first", first)
	s.metrics.Gauge("sends_further", further)
	s.metrics.Gauge("sends_of_further", ofFurther)
	s.metrics.Gauge("sends_spent", spent)
	s.metrics.Gauge("links_dialed", float64(dialed))
	s.metrics.Gauge("links_accepted", float64(accepted))
	s.metrics.Gauge("peer_bytes", float64(s.links.Bytes()))
}

// sampleEvents adds the lines of each event since the last look.
func (s *sampler) sampleEvents() {
	if s.events == nil {
		return
	}
	seen, left := s.events.Counts()
	for event, count := range seen {
		if more := count - s.counted[event]; more > 0 {
			s.metrics.Events(strconv.Itoa(event), int64(more)) //nolint:gosec // lines of two seconds
		}
	}
	s.counted = seen
	s.metrics.Gauge("log_lines_left_out", float64(left))
}
