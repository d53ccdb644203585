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
	// reportEvery is the time between two reports of the instruments to the registry.
	reportEvery = time.Second
	// mostCustomers, mostServices and mostCalls bound the instruments; what comes after shares those of others.
	mostCustomers = 100
	mostServices  = 200
	mostCalls     = 200
	others        = "other"
	// firstBucket, bucketFactor and bucketCount make the histograms' buckets: from 0.5 ms, doubling, to about 16 s.
	firstBucket  = time.Millisecond / 2
	bucketFactor = 2
	bucketCount  = 16
)

// Metrics is the node's registry; it is safe for concurrent use.
type Metrics struct {
	root      tally.Scope
	closer    io.Closer
	reporter  tallyprom.Reporter
	services  bounded[*ServiceMetrics]
	customers bounded[tally.Histogram]
	limits    bounded[*limited]
	calls     bounded[*StoreCalls]
	buckets   tally.Buckets
}

// Call holds the instruments of one kind of call to the platform's store.
type StoreCalls struct {
	latency tally.Histogram
	scope   tally.Scope
}

// Done counts one call by what it was for and the code of its failure, "" for none.
func (c *StoreCalls) Record(reason, code string, took time.Duration) {
	c.latency.RecordDuration(took)
	c.scope.Tagged(map[string]string{"reason": reason, "code": code}).Counter("store_calls").Inc(1)
}

// Class holds the instruments of one service.
type ServiceMetrics struct {
	// Latency is the time from the request's arrival to its answer's end, by the ingress.
	Latency tally.Histogram
	// Retries counts further sends.
	Retries tally.Counter
	// Work is the time that endpoints took, by the ingress that sent the work.
	Work  tally.Histogram
	scope tally.Scope

	mu sync.RWMutex
	// ends are the counters of requests and asked those of endpoints asked, by outcome and code.
	ends  map[string]tally.Counter
	asked map[string]tally.Counter
}

// New returns a registry, Internal when the reporter cannot be built.
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
	}, reportEvery)
	buckets, err := tally.ExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "metrics", "buckets cannot be built")
	}
	m := &Metrics{root: root, closer: closer, reporter: reporter, buckets: buckets}
	m.services = bounded[*ServiceMetrics]{most: mostServices, make: m.newClass}
	m.calls = bounded[*StoreCalls]{most: mostCalls, make: m.newCall}
	m.customers = bounded[tally.Histogram]{most: mostCustomers, make: m.newCustomer}
	m.limits = bounded[*limited]{most: mostCustomers, make: m.newLimited}
	return m, nil
}

func (m *Metrics) newClass(service string) *ServiceMetrics {
	scope := m.root.Tagged(map[string]string{"service": service})
	return &ServiceMetrics{
		Latency: scope.Histogram("request_seconds", m.buckets),
		Retries: scope.Counter("retries"),
		Work:    scope.Histogram("work_seconds", m.buckets),
		scope:   scope, ends: make(map[string]tally.Counter), asked: make(map[string]tally.Counter),
	}
}

func (m *Metrics) newCall(kind string) *StoreCalls {
	scope := m.root.Tagged(map[string]string{"call": kind})
	return &StoreCalls{latency: scope.Histogram("store_seconds", m.buckets), scope: scope}
}

// Store returns the instruments of a kind of call to the platform's store.
func (m *Metrics) Store(kind string) *StoreCalls { return m.calls.get(kind) }

func (m *Metrics) newCustomer(name string) tally.Histogram {
	return m.root.Tagged(map[string]string{"customer": name}).Histogram("customer_request_seconds", m.buckets)
}

// Service returns the instruments of a service; past a bounded number all share one.
func (m *Metrics) Service(name string) *ServiceMetrics { return m.services.get(name) }

// Customer returns the latency histogram of a customer; past a bounded number all share one.
func (m *Metrics) Customer(name string) tally.Histogram { return m.customers.get(name) }

// limited are the counters of a customer with a limit.
type limited struct {
	passed, refused tally.Counter
}

func (m *Metrics) newLimited(name string) *limited {
	scope := m.root.Tagged(map[string]string{"customer": name})
	return &limited{passed: scope.Counter("limit_passed"), refused: scope.Counter("limit_refused")}
}

// Limited counts a send of a customer with a limit that passed, or a request that was refused as beyond it.
func (m *Metrics) Limited(customer string, passed bool) {
	l := m.limits.get(customer)
	if passed {
		l.passed.Inc(1)
		return
	}
	l.refused.Inc(1)
}

// StopOutlasted counts requests that outlast the grace of a planned stop, by how far they have come.
func (m *Metrics) StopOutlasted(stage string, count int64) {
	m.root.Tagged(map[string]string{"stage": stage}).Counter("stop_outlasted").Inc(count)
}

// Gauge sets a node-wide gauge.
func (m *Metrics) Gauge(name string, value float64) { m.root.Gauge(name).Update(value) }

// Events adds to the count of a numbered event of the log.
func (m *Metrics) Events(event string, count int64) {
	m.root.Tagged(map[string]string{"event": event}).Counter("events").Inc(count)
}

// Count counts one request by its outcome and code.
func (c *ServiceMetrics) CountRequest(outcome, code string) {
	c.count(c.ends, "requests", outcome, code)
}

// Asked counts one endpoint that was asked for a request, by what came of it.
func (c *ServiceMetrics) CountSend(outcome, code string) {
	c.count(c.asked, "asked", outcome, code)
}

// count adds one to the counter of an outcome and code, which it makes unless it is among those already made.
func (c *ServiceMetrics) count(made map[string]tally.Counter, name, outcome, code string) {
	key := outcome + "/" + code
	c.mu.RLock()
	counter := made[key]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{"outcome": outcome, "code": code}).Counter(name)
		c.mu.Lock()
		made[key] = counter
		c.mu.Unlock()
	}
	counter.Inc(1)
}

// Handler shows every instrument in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Start is part of the component's interface; the reporting runs from New on.
func (m *Metrics) Start(context.Context) error { return nil }

// Stop ends the reporting.
func (m *Metrics) Stop(context.Context) error { return m.closer.Close() }

// bounded makes a value for each of the first names and one more that all the others share.
type bounded[T any] struct {
	mu     sync.RWMutex
	most   int
	make   func(string) T
	values map[string]T
}

func (b *bounded[T]) get(name string) T {
	b.mu.RLock()
	v, ok := b.values[name]
	full := len(b.values) >= b.most
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
