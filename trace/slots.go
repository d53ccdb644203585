package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lynxplank/lynxplank/events"
)

// Slots reports what the slots of each service's endpoints were used for over time, from the logs of all nodes.
type Slots struct {
	window    time.Duration
	byService map[string]map[time.Time]slotSums
}

// slotSeconds holds the slot seconds of one state of the breaker.
type slotSeconds struct {
	Working float64 `json:"working"`
	Late    float64 `json:"late"`
	Idle    float64 `json:"idle"`
	Grant   float64 `json:"grant"`
}

// plus returns the sum with a share of other slot seconds.
func (s slotSeconds) plus(o slotSeconds, share float64) slotSeconds {
	s.Working += o.Working * share
	s.Late += o.Late * share
	s.Idle += o.Idle * share
	s.Grant += o.Grant * share
	return s
}

func (s slotSeconds) total() float64 { return s.Working + s.Late + s.Idle + s.Grant }

// slotSums holds the slot seconds of a window, or of one line.
type slotSums struct {
	Closed  slotSeconds `json:"closed"`
	Open    slotSeconds `json:"open"`
	Waiting float64     `json:"waiting"`
}

// plus returns the sum with a share of others.
func (s slotSums) plus(o slotSums, share float64) slotSums {
	s.Closed, s.Open = s.Closed.plus(o.Closed, share), s.Open.plus(o.Open, share)
	s.Waiting += o.Waiting * share
	return s
}

// slotLine is a node's line on the slots of an endpoint. Time is when it was written, For the time before that which it is
// about, in milliseconds.
type slotLine struct {
	Event   int       `json:"event"`
	Service string    `json:"service"`
	Time    time.Time `json:"time"`
	For     float64   `json:"for"`
	slotSums
}

// maxSlotLineTime bounds the time that one line may be about: nodes write one every 2 s, and later after a suspension.
const maxSlotLineTime = time.Hour

// span returns the time that the line is about, false if that is absurd.
func (l slotLine) span() (from, to time.Time, ok bool) {
	if l.For <= 0 || l.For > float64(maxSlotLineTime/time.Millisecond) {
		return from, to, false
	}
	return l.Time.Add(-time.Duration(l.For * float64(time.Millisecond))), l.Time, true
}

// NewSlots returns an empty report by windows of some length, which must be above 0.
func NewSlots(window time.Duration) *Slots {
	return &Slots{window: window, byService: make(map[string]map[time.Time]slotSums)}
}

// Read reads the log of a node, or the logs of several nodes in sequence. It fails with BadUsage if the log cannot be read or
// has a line that is too long to come from a node.
func (s *Slots) Read(r io.Reader) error {
	return readLines(r, func(object []byte) {
		var line slotLine
		if json.Unmarshal(object, &line) == nil && line.Event == events.SlotsUsed.Number {
			s.add(line)
		}
	})
}

// add spreads a line evenly over the windows that it is about.
func (s *Slots) add(line slotLine) {
	from, to, ok := line.span()
	if !ok {
		return
	}
	windows := s.byService[line.Service]
	if windows == nil {
		windows = make(map[time.Time]slotSums)
		s.byService[line.Service] = windows
	}
	for at := from.UTC().Truncate(s.window); at.Before(to); at = at.Add(s.window) {
		start, end := at, at.Add(s.window)
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		windows[at] = windows[at].plus(line.slotSums, end.Sub(start).Seconds()/to.Sub(from).Seconds())
	}
}

// Print writes a line for each service and window: the mean number of slots in each state.
func (s *Slots) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tfrom\tslots\tworking\tsuspect\tlate\tsuspect\tgrant\tsuspect\tidle\tsuspect\twaiting")
	for _, service := range slices.Sorted(maps.Keys(s.byService)) {
		windows := s.byService[service]
		for _, at := range slices.SortedFunc(maps.Keys(windows), time.Time.Compare) {
			x, seconds := windows[at], s.window.Seconds()
			fmt.Fprintf(w, "%s\t%s", cmp.Or(service, "-"), at.Format("15:04:05.0"))
			for _, sum := range []float64{
				x.Closed.total() + x.Open.total(), x.Closed.Working, x.Open.Working, x.Closed.Late, x.Open.Late,
				x.Closed.Grant, x.Open.Grant, x.Closed.Idle, x.Open.Idle, x.Waiting,
			} {
				fmt.Fprintf(w, "\t%.1f", sum/seconds)
			}
			fmt.Fprintln(w)
		}
	}
	return w.Flush()
}
