package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
)

// maxFailures bounds the failed requests and calls that are held while logs are read: about 100 MB of log.
const maxFailures = 200000

// Losses reports the requests that were not served, from the logs of all nodes, each joined with the failed calls that were
// made on its behalf.
type Losses struct {
	failed []Line
	// calls holds the failed calls that endpoints made, by the id of the caller's request that they were made for.
	calls map[string][]Line
	// halls holds each node's hall.
	halls map[string]string
	// dropped counts the failures that were discarded because there were more than maxFailures.
	dropped int
}

// Loss is a group of requests that were lost for the same reason.
type Loss struct {
	// Service is the service that the requests asked for, Hall the hall of the node that logged the failure.
	Service string
	Hall    string
	// Repeatable is set for requests that may run more than once.
	Repeatable bool
	// Cause is the code or status that they failed with; InCall is set where that is the cause of a call made on their behalf.
	Cause  string
	InCall bool
	// Count is the number of requests, Waited the total time that their callers waited.
	Count  int
	Waited time.Duration
	// Worst is the second in which the most of them arrived, WorstCount how many arrived in it.
	Worst      time.Time
	WorstCount int
	// Example is the id of the first of them, to be traced, "" if its line stands for several requests without an id.
	Example string
	seconds map[time.Time]int
}

// NewLosses returns an empty report.
func NewLosses() *Losses {
	return &Losses{calls: make(map[string][]Line), halls: make(map[string]string)}
}

// Read reads the log of a node, or the logs of several nodes in sequence. Its lines may begin with other text. It fails with
// BadUsage if the log cannot be read or has a line that is too long to come from a node.
func (l *Losses) Read(r io.Reader) error {
	return readLines(r, l.take)
}

// started holds the fields of a node's start event that tell its hall.
type started struct {
	Node string `json:"node"`
	Hall string `json:"hall"`
}

func (l *Losses) take(text []byte) {
	var line Line
	if json.Unmarshal(text, &line) != nil {
		return
	}
	switch line.Event {
	case events.NodeStarted.Number:
		var s started
		if json.Unmarshal(text, &s) == nil {
			l.halls[s.Node] = s.Hall
		}
	case events.RequestFailed.Number, events.RequestRefused.Number, events.RequestsThrottled.Number:
		l.keep(line)
	}
}

// keep stores a failed request, or a failed call under the id of the request that it was made for.
func (l *Losses) keep(line Line) {
	if len(l.failed) >= maxFailures {
		l.dropped++
		return
	}
	if root, call := contract.RootOf(line.Request); call {
		l.calls[root] = append(l.calls[root], line)
		return
	}
	l.failed = append(l.failed, line)
}

// lossKey groups the losses: those with the same key are reported together.
type lossKey struct {
	service, hall, cause string
	repeatable, inCall   bool
}

// Groups returns the losses grouped by cause, service, hall and repeatability, the largest group first.
func (l *Losses) Groups() []Loss {
	byKey := make(map[lossKey]*Loss)
	for _, line := range l.failed {
		g := l.keyOf(line)
		loss := byKey[g]
		if loss == nil {
			loss = &Loss{
				Service: g.service, Hall: g.hall, Repeatable: g.repeatable, Cause: g.cause, InCall: g.inCall,
				Example: line.Request, seconds: make(map[time.Time]int),
			}
			byKey[g] = loss
		}
		loss.add(line)
	}
	out := make([]Loss, 0, len(byKey))
	for _, loss := range byKey {
		out = append(out, *loss)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Hall, b.Hall))
	})
	return out
}

func (l *Losses) keyOf(line Line) lossKey {
	g := lossKey{service: line.Service, hall: l.halls[line.Node], repeatable: line.Repeatable, cause: causeOf(line)}
	if calls := l.calls[line.Request]; len(calls) > 0 {
		g.cause, g.inCall = causeOf(decisive(calls)), true
	}
	return g
}

// decisive returns the call that made the endpoint's work fail: the first that was not canceled, because an endpoint cancels its
// other calls once one has failed.
func decisive(calls []Line) Line {
	for _, c := range calls {
		if fault.Code(c.Code) != fault.Canceled {
			return c
		}
	}
	return calls[0]
}

// causeOf returns the code of a failure, or the status of the endpoint's own answer where there is no code.
func causeOf(line Line) string {
	if line.Code != "" {
		return line.Code
	}
	return fmt.Sprintf("endpoint answered %d", line.Status)
}

func (x *Loss) add(line Line) {
	waited := time.Duration(line.After * float64(time.Millisecond))
	n := max(1, line.Count)
	x.Count += n
	x.Waited += waited
	second := line.Time.Add(-waited).Truncate(time.Second)
	x.seconds[second] += n
	if inSecond := x.seconds[second]; inSecond > x.WorstCount {
		x.Worst, x.WorstCount = second, inSecond
	}
}

// Print writes a line for each group.
func (l *Losses) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "lost\twaited\tcause\tservice\trepeatable\thall\tworst second\texample")
	for _, x := range l.Groups() {
		cause := x.Cause
		if x.InCall {
			cause = "a call of its work: " + cause
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\t%s (%d)\t%s\n", x.Count, x.Waited.Round(time.Millisecond), cause, x.Service,
			x.Repeatable, x.Hall, x.Worst.UTC().Format(time.TimeOnly), x.WorstCount, x.Example)
	}
	if l.dropped > 0 {
		fmt.Fprintf(w, "%d more are left out\n", l.dropped)
	}
	return w.Flush()
}
