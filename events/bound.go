package events

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limit is the rate limit of an event's log lines.
type Limit struct {
	// Lines is the sustained number of lines a second.
	Lines int
	// Bytes is the sustained number of bytes a second.
	Bytes int
}

// burstTime is the burst of each limit, in seconds of its rate: a fault causes many lines within a second.
const burstTime = 4

// reportInterval is the minimum time between two lines that report suppressed lines.
const reportInterval = time.Second

var (
	// defaultLimit is for failed requests and for changes of the node's view of the fleet. At 30 requests a second and node,
	// every request may fail and be logged at both of its nodes. A line has about 300 bytes, that of a failed request up to
	// 2,000.
	defaultLimit = Limit{Lines: 50, Bytes: 25 << 10}
	// sampleLimit is for events of nearly every request. A sample is enough to observe them, and costs about 0.1% of a core
	// (docs/MEASUREMENTS.md).
	sampleLimit = Limit{Lines: 10, Bytes: 5 << 10}
)

// limitOf returns an event's limit. Each event has its own, so that lines of served requests never displace those of failed
// requests.
func limitOf(event int) Limit {
	switch event {
	case RequestServed.Number, OfferRefused.Number, OlderConfigUsed.Number, RequestRetried.Number, RequestHedged.Number, RequestUnread.Number:
		return sampleLimit
	}
	return defaultLimit
}

// LimitedWriter passes log lines on within each event's limit. It suppresses the other lines, counts them, and reports their
// number in lines of their own.
type LimitedWriter struct {
	out io.Writer
	now func() time.Time

	mu       sync.Mutex
	limiters map[int]*eventLimiter
	// unreported counts the suppressed lines of each event since the last report of them, at reportedAt.
	unreported map[string]int
	reportedAt time.Time
	// seen counts the lines of each event, written or suppressed. suppressed counts the suppressed lines of all events.
	seen       map[int]uint64
	suppressed uint64
}

// eventLimiter enforces an event's limit.
type eventLimiter struct {
	lines *rate.Limiter
	bytes *rate.Limiter
}

func newEventLimiter(limit Limit) *eventLimiter {
	return &eventLimiter{
		lines: rate.NewLimiter(rate.Limit(limit.Lines), burstTime*limit.Lines),
		bytes: rate.NewLimiter(rate.Limit(limit.Bytes), burstTime*limit.Bytes),
	}
}

// allow reports whether a line of the given size is within both limits, and counts it against them if so.
func (l *eventLimiter) allow(now time.Time, size int) bool {
	if l.lines.TokensAt(now) < 1 || l.bytes.TokensAt(now) < float64(size) {
		return false
	}
	return l.lines.AllowN(now, 1) && l.bytes.AllowN(now, size)
}

// NewLimitedWriter returns a LimitedWriter to out; now returns the current time.
func NewLimitedWriter(out io.Writer, now func() time.Time) *LimitedWriter {
	return &LimitedWriter{
		out: out, now: now, reportedAt: now(),
		limiters: make(map[int]*eventLimiter), unreported: make(map[string]int), seen: make(map[int]uint64),
	}
}

// Write passes one log line on, or counts it as suppressed if its event is over its limit.
func (w *LimitedWriter) Write(line []byte) (int, error) {
	event := eventOf(line)
	w.mu.Lock()
	now := w.now()
	fits := w.allow(now, event, len(line))
	w.seen[event]++
	if !fits {
		w.suppressed++
		w.unreported[strconv.Itoa(event)]++
	}
	report := w.report(now, false)
	w.mu.Unlock()
	if report != nil {
		if _, err := w.out.Write(report); err != nil {
			return 0, err
		}
	}
	if !fits {
		return len(line), nil
	}
	return w.out.Write(line)
}

// Counts returns the number of lines of each event, written or suppressed, and the number of all suppressed lines.
func (w *LimitedWriter) Counts() (seen map[int]uint64, suppressed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.seen), w.suppressed
}

// Flush writes a report of the suppressed lines that have not been reported yet.
func (w *LimitedWriter) Flush() {
	w.mu.Lock()
	report := w.report(w.now(), true)
	w.mu.Unlock()
	if report != nil {
		_, _ = w.out.Write(report)
	}
}

// allow counts a line against its event's limit and reports whether it is within the limit; the lock is held.
func (w *LimitedWriter) allow(now time.Time, event, size int) bool {
	l := w.limiters[event]
	if l == nil {
		l = newEventLimiter(limitOf(event))
		w.limiters[event] = l
	}
	return l.allow(now, size)
}

// report returns a log line with the number of suppressed lines of each event. It returns nil if there are none or, unless
// force is set, if the last report is too recent. The lock is held. The line's field for them is left_out.
func (w *LimitedWriter) report(now time.Time, force bool) []byte {
	if len(w.unreported) == 0 || !force && now.Sub(w.reportedAt) < reportInterval {
		return nil
	}
	line, err := json.Marshal(struct {
		Level      string         `json:"level"`
		Event      int            `json:"event"`
		Name       string         `json:"name"`
		Suppressed map[string]int `json:"left_out"`
		Time       string         `json:"time"`
	}{LinesSuppressed.Level.String(), LinesSuppressed.Number, LinesSuppressed.Name, w.unreported, now.Format(time.RFC3339Nano)})
	if err != nil {
		return nil
	}
	clear(w.unreported)
	w.reportedAt = now
	return append(line, '\n')
}

// eventKey precedes the event's number in a log line.
var eventKey = []byte(`"event":`)

// eventOf returns the number of a line's event, 0 for a line without an event.
func eventOf(line []byte) int {
	at := bytes.Index(line, eventKey)
	if at < 0 {
		return 0
	}
	n := 0
	for _, c := range line[at+len(eventKey):] {
		if c < '0' || c > '9' {
			break
		}
		n = n*10 + int(c-'0')
	}
	return n
}
