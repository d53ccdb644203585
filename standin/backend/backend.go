package backend

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/header"
)

// Behaviour is how the endpoint serves from now on.
type Behaviour struct {
	// WorkMillis is the service time.
	WorkMillis float64 `json:"work_millis"`
	// SlowFactor multiplies it; 0 stands for 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailPercent of the work answers 500; probes still succeed.
	FailPercent int `json:"fail_percent"`
	// HalfPercent of the answers break off in the middle.
	HalfPercent int `json:"half_percent"`
	// HalfLength is the whole length of an answer that breaks off, in bytes; 0 stands for a short one.
	HalfLength int `json:"half_length"`
	// HalfChunked has such an answer state no length.
	HalfChunked bool `json:"half_chunked"`
	// SpoilPercent of the answers are bytes without an end; Spoil is the way, one of Spoils.
	SpoilPercent int    `json:"spoil_percent"`
	Spoil        string `json:"spoil"`
	// LargeBytes is the length of answers on paths that begin with PathLarge.
	LargeBytes int `json:"large_bytes"`
	// ReadPauseMillis is how long it waits after each 16 KiB of a request's body.
	ReadPauseMillis int `json:"read_pause_millis"`
	// FlapMillis switches the faults on and off with this period.
	FlapMillis int `json:"flap_millis"`
	// ShedAbove refuses, unrun, what would be more than this at once; 0 for never, below 0 for always.
	ShedAbove int `json:"shed_above"`
	// ColdMillis is how long it takes three times as long after this behaviour was set.
	ColdMillis int `json:"cold_millis"`
	// Leaving marks every answer as that of an endpoint about to stop.
	Leaving bool `json:"leaving"`
	// MaxRate is the text in which every answer states the rate that the endpoint takes from all nodes; "" for none.
	MaxRate string `json:"max_rate"`
	// QuietProbe has the probe not say that the endpoint is leaving.
	QuietProbe bool `json:"quiet_probe"`
	// DownMillis is how long the endpoint is gone once it has worked at a fatal request; 0 has it live on and answer.
	DownMillis int `json:"down_millis"`
	// Calls has the endpoint make a call through its node for each request, and answer 500 when the call fails.
	Calls bool `json:"calls"`
	// ReportLoad is what it says of its load: "" for the truth, "stuck" for the first value, "idle" for none.
	ReportLoad string `json:"report_load"`
}

// Run is what the endpoint knows of one caller's request.
type Run struct {
	// Started counts how often it began.
	Started int `json:"started"`
	// Finished counts how often its whole work was done.
	Finished int `json:"finished"`
	// LastMillis is when it last began, in Unix milliseconds.
	LastMillis int64 `json:"last_millis"`
	// FinishedMillis is when its whole work was last done, in Unix milliseconds, 0 if it was not.
	FinishedMillis int64 `json:"finished_millis,omitempty"`
	// Halved counts how often its answer was broken off on purpose.
	Halved int `json:"halved,omitempty"`
	// Told is what the endpoint was told of this request, if it is a call that the endpoint made itself.
	Told string `json:"told,omitempty"`
}

// CallHeader names the caller's request for the record.
const CallHeader = "X-Call"

const (
	coldFactor   = 3
	halfLength   = 4096
	percent      = 100
	reportHeader = "X-Load"
)

// Backend is one endpoint.
type Backend struct {
	mu   sync.Mutex
	name string
	set  time.Time
	how  Behaviour
	runs map[string]Run
	// arrivals are the times at which work arrived, in Unix milliseconds.
	arrivals []int64
	busy     int
	// node is the address of the node for the endpoint's own calls, calls their number.
	node   string
	calls  int
	stuck  int
	random *rand.Rand
	// ends takes, at its end, for how long the endpoint is gone.
	ends chan time.Duration
}

// New returns an endpoint with a name for its answers and fixed random numbers.
func New(name string, how Behaviour, seed uint64) *Backend {
	b := &Backend{name: name, runs: make(map[string]Run), random: rand.New(rand.NewPCG(seed, seed)), ends: make(chan time.Duration, 1)} //nolint:gosec // no secret
	b.Set(how)
	return b
}

// Set replaces the behaviour.
func (b *Backend) Set(how Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.how = how
	b.set = time.Now()
	b.stuck = b.busy
}

// Runs returns a copy of the record.
func (b *Backend) Runs() map[string]Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Run, len(b.runs))
	for k, v := range b.runs {
		out[k] = v
	}
	return out
}

// Arrivals returns when work arrived, refused work included, in Unix milliseconds in order.
func (b *Backend) Arrivals() []int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

// plan is what becomes of one request.
type plan struct {
	// large is the length that the answer is filled up to, 0 for as it is.
	large                     int
	shed, fail, half, leaving bool
	// spoil is the way in which the answer is spoiled, "" for none.
	spoil   string
	calls   bool
	work    time.Duration
	report  int
	maxRate string
	// down is how long the endpoint is gone after the work, 0 for not at all.
	down time.Duration
}

func (b *Backend) begin(call, path string) plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now().UnixMilli())
	p := plan{
		leaving: b.how.Leaving, work: time.Duration(b.how.WorkMillis * float64(time.Millisecond)), report: b.report(),
		maxRate: b.how.MaxRate,
	}
	if b.how.ShedAbove != 0 && b.busy >= b.how.ShedAbove {
		p.shed = true
		return p
	}
	age := time.Since(b.set)
	if age < time.Duration(b.how.ColdMillis)*time.Millisecond {
		p.work *= coldFactor
	}
	if b.faulty(age) {
		p.fail = b.random.IntN(percent) < b.how.FailPercent
		p.half = b.random.IntN(percent) < b.how.HalfPercent
		if b.how.SpoilPercent > 0 && b.random.IntN(percent) < b.how.SpoilPercent {
			p.spoil = b.how.Spoil
		}
		if b.how.SlowFactor > 0 {
			p.work = time.Duration(float64(p.work) * b.how.SlowFactor)
		}
	}
	if strings.HasPrefix(path, PathLarge) {
		p.large = b.how.LargeBytes
	}
	if strings.HasPrefix(path, PathFatal) {
		p.down = time.Duration(b.how.DownMillis) * time.Millisecond
	}
	p.calls = b.makesCall(path)
	b.busy++
	r := b.runs[call]
	r.Started++
	r.LastMillis = time.Now().UnixMilli()
	b.runs[call] = r
	return p
}

func (b *Backend) faulty(age time.Duration) bool {
	period := time.Duration(b.how.FlapMillis) * time.Millisecond
	return period == 0 || (age/period)%2 == 0
}

func (b *Backend) report() int {
	switch b.how.ReportLoad {
	case "stuck":
		return b.stuck
	case "idle":
		return 0
	}
	return b.busy
}

func (b *Backend) end(call string, finished bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
	if finished {
		r := b.runs[call]
		r.Finished++
		r.FinishedMillis = time.Now().UnixMilli()
		b.runs[call] = r
	}
}

// wait takes the plan's time, less when the caller goes away or the deadline comes.
func (p plan) wait(ctx context.Context, deadline time.Duration) bool {
	t := time.NewTimer(p.work)
	defer t.Stop()
	if deadline <= 0 {
		deadline = time.Hour
	}
	limit := time.NewTimer(deadline)
	defer limit.Stop()
	select {
	case <-t.C:
		return true
	case <-limit.C:
	case <-ctx.Done():
	}
	return false
}

func deadlineOf(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(header.Deadline))
	if err != nil {
		return 0
	}
	return d
}
