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

// mostFailures bounds the failed requests and calls that are held while logs are read: about 100 MB of log.
const mostFailures = 200000

// Losses are the requests that were not served, as the logs of all nodes tell, joined with the failed calls beneath them.
type Losses struct {
	failed []Line
	// calls are the failed calls of endpoints' work, by the request that the work was for.
	calls map[string][]Line
	// halls are the nodes' halls.
	halls   map[string]string
	dropped int
}

// Loss is a group of requests that were lost for the same reason.
type Loss struct {
	// Service and Hall are where the requests came from and what they asked for.
	Service string
	Hall    string
	// Repeatable is set for requests that may run more than once.
	Repeatable bool
	// Cause is what they were lost for; Beneath is set where a call of their work was.
	Cause   string
	Beneath bool
	// Count is their number, Waited the time that their callers waited in all.
	Count  int
	Waited time.Duration
	// Worst is the second in which most of them came, WorstCount how many.
	Worst      time.Time
	WorstCount int
	// Example is the id of the first of them, for trace.
	Example string
	seconds map[time.Time]int
}

// NewLosses returns an empty report.
func NewLosses() *Losses {
	return &Losses{calls: make(map[string][]Line), halls: make(map[string]string)}
}

// Read takes a node's log, or several one after the other; each line may stand behind other text. It fails with BadUsage for
// a line that is too long to be one of a node's.
func (l *Losses) Read(r io.Reader) error {
	return readLines(r, l.take)
}

// started is the line that tells a node's hall.
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
	case events.RequestFailed.Number, events.RequestRefused.Number:
		l.keep(line)
	}
}

// keep holds a failed request, or a failed call with the request that it was made for.
func (l *Losses) keep(line Line) {
	if len(l.failed) >= mostFailures {
		l.dropped++
		return
	}
	if root, call := contract.RootOf(line.Request); call {
		l.calls[root] = append(l.calls[root], line)
		return
	}
	l.failed = append(l.failed, line)
}

// lossKey tells apart what is reported apart.
type lossKey struct {
	service, hall, cause string
	repeatable, beneath  bool
}

// Groups returns the losses by cause, the largest first.
func (l *Losses) Groups() []Loss {
	byKey := make(map[lossKey]*Loss)
	for _, line := range l.failed {
		g := l.keyOf(line)
		loss := byKey[g]
		if loss == nil {
			loss = &Loss{
				Service: g.service, Hall: g.hall, Repeatable: g.repeatable, Cause: g.cause, Beneath: g.beneath,
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
		g.cause, g.beneath = causeOf(decisive(calls)), true
	}
	return g
}

// decisive is the call that its work failed for: an endpoint breaks off the others once one has failed.
func decisive(calls []Line) Line {
	for _, c := range calls {
		if fault.Code(c.Code) != fault.Canceled {
			return c
		}
	}
	return calls[0]
}

// causeOf is the code of a failure, or the status of the endpoint's own failed answer.
func causeOf(line Line) string {
	if line.Code != "" {
		return line.Code
	}
	return fmt.Sprintf("endpoint answered %d", line.Status)
}

func (x *Loss) add(line Line) {
	waited := time.Duration(line.After * float64(time.Millisecond))
	x.Count++
	x.Waited += waited
	second := line.Time.Add(-waited).Truncate(time.Second)
	x.seconds[second]++
	if n := x.seconds[second]; n > x.WorstCount {
		x.Worst, x.WorstCount = second, n
	}
}

// Print writes a line for each group.
func (l *Losses) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "lost\twaited\tcause\tservice\trepeatable\thall\tworst second\texample")
	for _, x := range l.Groups() {
		cause := x.Cause
		if x.Beneath {
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
