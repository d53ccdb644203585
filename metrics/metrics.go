package metrics

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// reportInterval is the time between two reports of the instruments to the Prometheus registry.
	reportInterval = time.Second
	// maxCustomers, maxServices and maxCalls limit the number of instruments. Names seen after the limit is reached share the
	// instruments of the name in others.
	maxCustomers = 100
	maxServices  = 200
	maxCalls     = 200
	others       = "other"
	// firstBucket, bucketFactor and bucketCount define the histograms' buckets: doubling from 0.5 ms to about 16 s.
	firstBucket  = time.Millisecond / 2
	bucketFactor = 2
	bucketCount  = 16
)

// Metrics holds the node's instruments; it is safe for concurrent use.
type Metrics struct {
	root      tally.Scope
	closer    io.Closer
	reporter  tallyprom.Reporter
	services  bounded[*ServiceMetrics]
	customers bounded[tally.Histogram]
	limits    bounded[*customerLimit]
	calls     bounded[*StoreCalls]
	buckets   tally.Buckets
}

// StoreCalls holds the instruments of one kind of call to the platform's store.
type StoreCalls struct {
	latency tally.Histogram
	scope   tally.Scope
}

// Record counts and times a call, by its reason and its error code, "" for success.
func (c *StoreCalls) Record(reason, code string, took time.Duration) {
	c.latency.RecordDuration(took)
	c.scope.Tagged(map[string]string{"reason": reason, "code": code}).Counter("store_calls").Inc(1)
}

// ServiceMetrics holds the instruments of one service.
type ServiceMetrics struct {
	// Latency is the time from the request's arrival at the ingress to the end of its answer.
	Latency tally.Histogram
	// Retries counts the retries of requests.
	Retries tally.Counter
	// Throttled counts the requests that were refused because the service rejects most requests of their route.
	Throttled tally.Counter
	// ThrottleShare is the largest share of requests that is refused for that reason now, among the service's routes.
	ThrottleShare tally.Gauge
	// Work is the time that endpoints took for requests, as measured by the ingress that sent them.
	Work tally.Histogram
	// nestedCalls counts the calls of endpoints' own work, nestedRounds the rounds in which these looked for capacity.
	nestedCalls, nestedRounds tally.Counter
	// yielded counts the requests of which a send gave up its slot, by what became of them.
	yielded map[YieldResult]tally.Counter
	scope   tally.Scope

	mu sync.RWMutex
	// requests counts requests and sends counts sends of requests to endpoints, both by outcome and code. The outer name of the
	// latter is asked.
	requests map[string]tally.Counter
	sends    map[string]tally.Counter
}

// New returns the node's instruments; it fails with Internal if the histograms' buckets cannot be built.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry, Gatherer: registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lynxplank", CachedReporter: reporter, Separator: tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	buckets, err := tally.ExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "metrics", "histogram buckets cannot be built")
	}
	m := &Metrics{root: root, closer: closer, reporter: reporter, buckets: buckets}
	m.services = bounded[*ServiceMetrics]{maxNames: maxServices, make: m.newServiceMetrics}
	m.calls = bounded[*StoreCalls]{maxNames: maxCalls, make: m.newStoreCalls}
	m.customers = bounded[tally.Histogram]{maxNames: maxCustomers, make: m.newCustomer}
	m.limits = bounded[*customerLimit]{maxNames: maxCustomers, make: m.newCustomerLimit}
	return m, nil
}

func (m *Metrics) newServiceMetrics(service string) *ServiceMetrics {
	scope := m.root.Tagged(map[string]string{"service": service})
	return &ServiceMetrics{
		Latency: scope.Histogram("request_seconds", m.buckets),
		Retries: scope.Counter("retries"), Throttled: scope.Counter("throttled"), ThrottleShare: scope.Gauge("throttle_share"),
		Work: scope.Histogram("work_seconds", m.buckets),

		yielded:     newYieldCounters(scope),
		nestedCalls: scope.Counter("nested_calls"), nestedRounds: scope.Counter("nested_rounds"),
		scope: scope, requests: make(map[string]tally.Counter), sends: make(map[string]tally.Counter),
	}
}

// YieldResult is what became of a request of which a send gave up its slot at an endpoint.
type YieldResult string

// The results.
const (
	YieldServed YieldResult = "served"
	YieldLate   YieldResult = "late"
	YieldFailed YieldResult = "failed"
)

func newYieldCounters(scope tally.Scope) map[YieldResult]tally.Counter {
	counters := make(map[YieldResult]tally.Counter)
	for _, r := range []YieldResult{YieldServed, YieldLate, YieldFailed} {
		counters[r] = scope.Tagged(map[string]string{"result": string(r)}).Counter("yielded_requests")
	}
	return counters
}

func (m *Metrics) newStoreCalls(kind string) *StoreCalls {
	scope := m.root.Tagged(map[string]string{"call": kind})
	return &StoreCalls{latency: scope.Histogram("store_seconds", m.buckets), scope: scope}
}

// Store returns the instruments of a kind of call to the platform's store.
func (m *Metrics) Store(kind string) *StoreCalls { return m.calls.get(kind) }

func (m *Metrics) newCustomer(name string) tally.Histogram {
	return m.root.Tagged(map[string]string{"customer": name}).Histogram("customer_request_seconds", m.buckets)
}

// Service returns the instruments of a service; services beyond a maximum number share one set.
func (m *Metrics) Service(name string) *ServiceMetrics { return m.services.get(name) }

// Customer returns the latency histogram of a customer; customers beyond a maximum number share one histogram.
func (m *Metrics) Customer(name string) tally.Histogram { return m.customers.get(name) }

// customerLimit holds the counters of a customer with a rate limit.
type customerLimit struct {
	passed, refused tally.Counter
}

func (m *Metrics) newCustomerLimit(name string) *customerLimit {
	scope := m.root.Tagged(map[string]string{"customer": name})
	return &customerLimit{passed: scope.Counter("limit_passed"), refused: scope.Counter("limit_refused")}
}

// Limited counts either a send that passed a customer's rate limit, or a request that was refused as beyond the limit.
func (m *Metrics) Limited(customer string, passed bool) {
	l := m.limits.get(customer)
	if passed {
		l.passed.Inc(1)
		return
	}
	l.refused.Inc(1)
}

// StopOutlasted counts requests that outlast the grace of a planned stop, by their processing stage.
func (m *Metrics) StopOutlasted(stage string, count int64) {
	m.root.Tagged(map[string]string{"stage": stage}).Counter("stop_outlasted").Inc(count)
}

// Gauge sets a node-wide gauge.
func (m *Metrics) Gauge(name string, value float64) { m.root.Gauge(name).Update(value) }

// Events adds to the number of log lines of an event; event is its number.
func (m *Metrics) Events(event string, count int64) {
	m.root.Tagged(map[string]string{"event": event}).Counter("events").Inc(count)
}

// CountRequest counts a request by its outcome and code.
func (s *ServiceMetrics) CountRequest(outcome, code string) {
	s.count(s.requests, "requests", outcome, code)
}

// MaxRates are the endpoints of a service beside this node that state how many requests a second they take.
type MaxRates struct {
	// Endpoints is their number.
	Endpoints float64
	// Refused and Delayed count the requests that were refused, and that had to wait, since the node started.
	Refused, Delayed float64
}

// SetMaxRates sets the gauges of the stated rates.
func (s *ServiceMetrics) SetMaxRates(r MaxRates) {
	s.scope.Gauge("max_rate_endpoints").Update(r.Endpoints)
	s.scope.Gauge("max_rate_refused").Update(r.Refused)
	s.scope.Gauge("max_rate_delayed").Update(r.Delayed)
}

// CountYielded counts a request of which a send gave up its slot at an endpoint, by what became of it.
func (s *ServiceMetrics) CountYielded(r YieldResult) { s.yielded[r].Inc(1) }

// SetReclaimedSlots sets the number of runs that were ended because other requests needed their slots.
func (s *ServiceMetrics) SetReclaimedSlots(n float64) { s.scope.Gauge("reclaimed_slots").Update(n) }

// CountNested counts a nested call and the rounds in which it looked for capacity.
func (s *ServiceMetrics) CountNested(rounds int) {
	s.nestedCalls.Inc(1)
	s.nestedRounds.Inc(int64(rounds))
}

// SetNested sets the gauges of the nested calls that started at the endpoints of the service beside this node, and of the
// waiting requests that were refused for the place of one, since the node started.
func (s *ServiceMetrics) SetNested(starts, displaced uint64) {
	s.scope.Gauge("nested_starts").Update(float64(starts))
	s.scope.Gauge("nested_displaced").Update(float64(displaced))
}

// CountSend counts a send of a request to an endpoint by its outcome and code.
func (s *ServiceMetrics) CountSend(outcome, code string) {
	s.count(s.sends, "asked", outcome, code)
}

// count increments the counter of an outcome and code. It creates the counter if counters does not contain it yet.
func (s *ServiceMetrics) count(counters map[string]tally.Counter, name, outcome, code string) {
	key := outcome + "/" + code
	s.mu.RLock()
	counter := counters[key]
	s.mu.RUnlock()
	if counter == nil {
		counter = s.scope.Tagged(map[string]string{"outcome": outcome, "code": code}).Counter(name)
		s.mu.Lock()
		counters[key] = counter
		s.mu.Unlock()
	}
	counter.Inc(1)
}

// Handler returns the HTTP handler that exposes all instruments in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Start implements the kernel's component interface; it does nothing, as reporting runs from New on.
func (m *Metrics) Start(context.Context) error { return nil }

// Stop ends the reporting of the instruments.
func (m *Metrics) Stop(context.Context) error { return m.closer.Close() }

// bounded creates a value for each of the first maxNames names, and one more value that all other names share.
type bounded[T any] struct {
	mu       sync.RWMutex
	maxNames int
	make     func(string) T
	values   map[string]T
}

// get returns the value of a name, created on first use.
func (b *bounded[T]) get(name string) T {
	b.mu.RLock()
	v, ok := b.values[name]
	full := len(b.values) >= b.maxNames
	b.mu.RUnlock()
	if ok {
		return v
	}
	if full {
		name = others
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.values[name]; ok {
		return v
	}
	if b.values == nil {
		b.values = make(map[string]T)
	}
	v = b.make(name)
	b.values[name] = v
	return v
}
