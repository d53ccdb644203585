package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
)

// StopSeries sends a node signals in series, among them some to stop it, and kills it once the grace is over.
const StopSeries Kind = "stop-series"

const (
	// stopGrace is how long after a signal a node is killed, stopSettings what the nodes know of it.
	stopGrace    = 3 * time.Second
	stopSettings = "stop: {grace: 3s, margin: 300ms, notice: 500ms}\n"
	// scarceSettings has the proportions of deploy/node.yaml.tmpl.
	scarceSettings = "stop: {grace: 3s, margin: 300ms, notice: 1400ms}\n"
	// scarceShare is the part of its processor time that a node with little has, in slices of between shortestPeriod and longestPeriod.
	scarceShare                   = 6
	shortestPeriod, longestPeriod = 100 * time.Millisecond, 1400 * time.Millisecond
	// idleCallers is how many callers there are for each node whose kept connections lie idle.
	idleCallers = 20
	// slowSpells is how many spells of slow work come with each of these stops.
	slowSpells = 3
	// stopDeadline is that of the callers' requests: some outlast the grace.
	stopDeadline = "8s"
	// mostSignals bounds the signals of a series, mostGap the time between two.
	mostSignals, mostGap = 5, time.Second
	// lateStart is how long after its start a node may be stopped again at the most.
	lateStart = 400 * time.Millisecond
	// slowest bounds how many times as long as usual the work of slow endpoints takes: with normalWork about the deadline.
	slowest = 180
	// crossing is how long before a close a request may have been written without having been read.
	crossing = time.Second
	// stacksTime is how long a node may take to write its stacks.
	stacksTime = 300 * time.Millisecond
	// stopsSeed and suspensionsSeed keep these draws apart from those of Plan and from each other.
	stopsSeed, suspensionsSeed, scarceSeed = 1 << 41, 1 << 42, 1 << 43
	// latestSuspension is how long after its stop signal a node is suspended at the most, longestSuspension for how long.
	latestSuspension, longestSuspension = 700 * time.Millisecond, 2 * time.Second
)

// Signal is one of a series.
type Signal struct {
	// After is how long after the one before it is sent.
	After time.Duration
	// Number is which.
	Number syscall.Signal
}

// Series is how a node is stopped.
type Series struct {
	// Signals are sent in their order; the first one that stops the node begins the grace.
	Signals []Signal
	// FromLast has the grace counted from the last signal to stop, in place of the first.
	FromLast bool
	// Again is how long after its start the node is stopped once more, 0 for never; it may not listen yet.
	Again time.Duration
	// Scarce is how long before the first signal the node begins to have little processor time, until it ends; 0 for never. It then
	// runs for a part of each Period only.
	Scarce, Period time.Duration
}

// PlanStops draws n series of signals and as many spells of slow work, without changing what Plan draws.
func PlanStops(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, stopsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, 2*n)
	for range n {
		slow := slowSpell(r, members, length)
		stop := draw(r, members, length)
		stop.Kind, stop.Series = StopSeries, drawSeries(r)
		plan = append(plan, slow, stop)
	}
	return plan
}

// PlanSuspensions draws n planned stops of nodes whose processes are suspended meanwhile.
func PlanSuspensions(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, suspensionsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		stop := draw(r, members, length)
		stop.Kind, stop.Series = StopSeries, Series{Signals: []Signal{
			{Number: syscall.SIGTERM},
			{After: time.Duration(r.Int64N(int64(latestSuspension))), Number: syscall.SIGSTOP},
			{After: time.Duration(r.Int64N(int64(longestSuspension))), Number: syscall.SIGCONT},
		}}
		plan = append(plan, stop)
	}
	return plan
}

// PlanScarce draws n planned stops of nodes that have little processor time, and as many spells of slow work.
func PlanScarce(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, scarceSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, (1+slowSpells)*n)
	for range n {
		stop := draw(r, members, length)
		stop.Kind = StopSeries
		period := shortestPeriod + time.Duration(r.Int64N(int64(longestPeriod-shortestPeriod)))
		stop.Series = Series{
			Signals: []Signal{{Number: syscall.SIGTERM}}, Period: period, Scarce: time.Duration(1 + r.Int64N(int64(period))),
		}
		plan = append(plan, stop)
		for range slowSpells {
			plan = append(plan, slowSpell(r, members, length))
		}
	}
	return plan
}

// slowSpell draws a spell in which the work of an endpoint may outlast the grace of its callers' nodes.
func slowSpell(r *rand.Rand, members int, length time.Duration) Action {
	slow := draw(r, members, length)
	slow.Kind, slow.For = Endpoint, slow.For+stopGrace
	slow.Behaviour = backend.Behaviour{WorkMillis: normalWork, SlowFactor: float64(r.IntN(slowest))}
	return slow
}

// drawSeries draws a series with at least one signal to stop.
func drawSeries(r *rand.Rand) Series {
	s := Series{FromLast: r.IntN(2) == 0}
	for range 1 + r.IntN(mostSignals) {
		number := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP}[r.IntN(3)]
		s.Signals = append(s.Signals, Signal{After: time.Duration(r.Int64N(int64(mostGap))), Number: number})
	}
	s.Signals[r.IntN(len(s.Signals))].Number = syscall.SIGTERM
	if again := r.IntN(3) == 0; again {
		s.Again = time.Duration(1 + r.Int64N(int64(lateStart)))
	}
	return s
}

// stopped is one planned stop of a member's node.
type stopped struct {
	on          int
	from, until time.Time
	// kill is when the node was killed, the zero time if it ended by itself; suspended is set if its process was suspended meanwhile.
	kill      time.Time
	suspended bool
}

func (s stopped) killed() bool { return !s.kill.IsZero() }

// closedAt is when a connection was closed: at the kill, however long the system takes to end the process.
func (s stopped) closedAt(c demo.Close) time.Time {
	if s.killed() && s.kill.Before(c.At) {
		return s.kill
	}
	return c.At
}

// stopSeries stops a node by a series of signals and starts it again.
func (r *run) stopSeries(a Action) {
	r.procs[a.On].Lock()
	defer r.procs[a.On].Unlock()
	m := r.fleet.Members[a.On]
	r.signalAndWait(a)
	r.watch.ended(a.On)
	if a.Series.Again > 0 {
		r.must("start", r.fleet.StartNode(m))
		time.Sleep(a.Series.Again)
		// A node that does not listen yet may end by the signal.
		_ = m.Signal(syscall.SIGTERM)
		if ended, _ := m.Ended(stopGrace); !ended {
			r.must("kill", m.KillNode())
		}
		r.watch.ended(a.On)
	}
	r.startAgain(m)
}

// signalAndWait sends a series and waits for the node's end; the node is killed once the grace is over.
func (r *run) signalAndWait(a Action) {
	m := r.fleet.Members[a.On]
	var from, kill time.Time
	var sent []string
	ended, suspended := false, a.Series.Period > crossing/2
	defer makeScarce(m, a.Series)()
	for _, s := range a.Series.Signals {
		pause := s.After
		if !kill.IsZero() {
			pause = min(pause, time.Until(kill))
		}
		if ended = r.ended(m, pause); ended || !kill.IsZero() && time.Now().After(kill) {
			break
		}
		if err := m.Signal(s.Number); err != nil {
			// It has ended since.
			ended = r.ended(m, stopGrace)
			break
		}
		sent = append(sent, signalAt(s.Number))
		suspended = suspended || s.Number == syscall.SIGSTOP
		if s.Number != syscall.SIGTERM {
			continue
		}
		if from.IsZero() {
			from = time.Now()
		}
		if kill.IsZero() || a.Series.FromLast {
			kill = time.Now().Add(stopGrace)
		}
	}
	stop := stopped{on: a.On, from: from, suspended: suspended}
	if !ended && !r.ended(m, time.Until(kill)) {
		stop.kill = time.Now()
		sent = append(sent, signalAt(syscall.SIGKILL))
		r.kill(m)
	}
	stop.until = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
	r.report.Stops = append(r.report.Stops, fmt.Sprintf("%s: %s; over %s", m.Host, strings.Join(sent, ", "), timeOfDay(stop.until)))
}

// makeScarce gives a node little processor time, if its series asks for that, and returns once its signals may be sent. The function
// that it returns ends that.
func makeScarce(m *demo.Member, s Series) (stop func()) {
	if s.Scarce == 0 {
		return func() {}
	}
	stop = m.Throttle(s.Period, s.Period/scarceShare)
	time.Sleep(s.Scarce)
	return stop
}

// kill ends a node that has outlived its grace, after it wrote the stacks of its goroutines if that is asked for.
func (r *run) kill(m *demo.Member) {
	if r.cfg.Stacks && m.Signal(syscall.SIGQUIT) == nil {
		if ended, _ := m.Ended(stacksTime); ended {
			return
		}
	}
	r.must("kill", m.KillNode())
}

// signalAt describes a signal that was sent now.
func signalAt(s syscall.Signal) string { return fmt.Sprintf("%v %s", s, timeOfDay(time.Now())) }

// timeOfDay formats a time like those in the nodes' logs.
func timeOfDay(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// ended waits for a node's end, which has to be with 0, and tells whether it came within a limit.
func (r *run) ended(m *demo.Member, limit time.Duration) bool {
	ended, err := m.Ended(limit)
	r.must("planned stop", err)
	return ended
}

// judgeStops looks for connections that a stopping node closed without an answer: one that was not killed may close none, and one that was only
// those of requests that an endpoint had, and had not answered some time before the kill, and that were sent in the first half of the grace. The time counts from when the request was written:
// callers share this machine, and a caller that gets no CPU writes its request long after it began to send it.
func (r *run) judgeStops() {
	for _, result := range r.report.Results {
		for _, c := range result.Closes {
			i := slices.IndexFunc(r.stops, func(s stopped) bool {
				return r.fleet.Members[s.on].Callers == c.Node && c.At.After(s.from) && c.At.Before(s.until.Add(crossing))
			})
			if i < 0 || c.Wrote.IsZero() || r.stops[i].closedAt(c).Sub(c.Wrote) < crossing || r.brokenOff(result.Call, c) {
				continue
			}
			if why := r.closeBreaks(r.stops[i], result.Call, c); why != "" {
				r.breaks("stop: %s was closed without an answer after %v by node %s, %s (%s)",
					result.Call, c.At.Sub(c.Sent), r.fleet.Members[r.stops[i].on].Host, why, timesOf(c))
			}
		}
	}
}

// closeBreaks returns why a close of a connection without an answer breaks the promise of a planned stop, "" if it does not.
func (r *run) closeBreaks(s stopped, call string, c demo.Close) string {
	answered, at := r.answeredAt(call)
	switch started := begun(call, r.report.Records); {
	case !s.killed():
		return "which ended by itself"
	case started == 0 && c.First != "":
		// The caller can tell that it has not run, as no answer before it came.
	case started == 0:
		return "and no endpoint had it"
	case c.Sent.After(s.from.Add(stopGrace / 2)):
		return fmt.Sprintf("which had taken it %v after its signal", c.Sent.Sub(s.from))
	case answered && !s.suspended && s.kill.Sub(at) >= crossing:
		return fmt.Sprintf("%v before its kill its endpoint had answered", s.kill.Sub(at))
	}
	return ""
}

// brokenOff reports whether an endpoint broke off the first answer that the connection lacks, of which a part had come: that resets
// the connection with all answers behind it.
func (r *run) brokenOff(call string, c demo.Close) bool {
	first := cmp.Or(c.First, call)
	return c.Partial && slices.ContainsFunc(r.report.Records, func(record map[string]backend.Run) bool { return record[first].Halved > 0 })
}

// answeredAt returns when an endpoint last finished a request, and whether none was at work on it after that.
func (r *run) answeredAt(call string) (answered bool, at time.Time) {
	started, finished, last := 0, 0, int64(0)
	for _, record := range r.report.Records {
		started += record[call].Started
		finished += record[call].Finished
		last = max(last, record[call].FinishedMillis)
	}
	return started > 0 && finished == started, time.UnixMilli(last)
}

// timesOf describes when a request was sent and its connection closed.
func timesOf(c demo.Close) string {
	wrote := "never"
	if !c.Wrote.IsZero() {
		wrote = timeOfDay(c.Wrote)
	}
	return fmt.Sprintf("sent %s, written %s, close seen %s", timeOfDay(c.Sent), wrote, timeOfDay(c.At))
}
