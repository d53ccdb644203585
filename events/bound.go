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

// Limit is how much of the log one event may take.
type Limit struct {
	// Lines is how many lines a second it may write over time.
	Lines int
	// Bytes is how many bytes a second these may have.
	Bytes int
}

// burstTime is how many seconds of its limit an event may write at once: a fault shows in many lines within a second.
const burstTime = 4

// tellEvery is the least time between two lines that tell what was left out.
const tellEvery = time.Second

var (
	// usualLimit is for what changes what the node believes and for failed requests: at 30 requests a second and node
	// each may fail, with a line at either node. A line has about 300 bytes, that of a failed request up to 2,000.
	usualLimit = Limit{Lines: 50, Bytes: 25 << 10}
	// sampleLimit is for what happens to nearly every request: a sample is enough to see how it goes, and takes about
	// 0.1% of a core (docs/MEASUREMENTS.md).
	sampleLimit = Limit{Lines: 10, Bytes: 5 << 10}
)

// limitOf returns an event's limit. Each event has its own, so that served requests never push failed ones out.
func limitOf(event int) Limit {
	switch event {
	case RequestServed.Number, OfferRefused.Number, OlderConfigUsed.Number, RequestRetried.Number, RequestHedged.Number:
		return sampleLimit
	}
	return usualLimit
}

// Bound passes each event's lines on as far as its limit allows, and counts those that it leaves out.
type LimitedWriter struct {
	out io.Writer
	now func() time.Time

	mu         sync.Mutex
	allowances map[int]*allowance
	// untold counts the lines of each event that were left out since that was told last, at toldAt.
	untold map[string]int
	toldAt time.Time
	// seen counts the lines of each event, written or not, left all those that were left out.
	seen map[int]uint64
	left uint64
}

// allowance is what an event may still write.
type allowance struct {
	lines *rate.Limiter
	bytes *rate.Limiter
}

func newAllowance(limit Limit) *allowance {
	return &allowance{
		lines: rate.NewLimiter(rate.Limit(limit.Lines), burstTime*limit.Lines),
		bytes: rate.NewLimiter(rate.Limit(limit.Bytes), burstTime*limit.Bytes),
	}
}

// take takes a line of some bytes if both limits have room for it; a line that does not fit takes nothing.
func (a *allowance) take(now time.Time, size int) bool {
	if a.lines.TokensAt(now) < 1 || a.bytes.TokensAt(now) < float64(size) {
		return false
	}
	return a.lines.AllowN(now, 1) && a.bytes.AllowN(now, size)
}

// NewBound returns a bound in front of out; now gives the time.
func NewLimitedWriter(out io.Writer, now func() time.Time) *LimitedWriter {
	return &LimitedWriter{
		out: out, now: now, toldAt: now(),
		allowances: make(map[int]*allowance), untold: make(map[string]int), seen: make(map[int]uint64),
	}
}

// Write takes one line.
func (b *LimitedWriter) Write(line []byte) (int, error) {
	event := eventOf(line)
	b.mu.Lock()
	now := b.now()
	fits := b.allow(now, event, len(line))
	b.seen[event]++
	if !fits {
		b.left++
		b.untold[strconv.Itoa(event)]++
	}
	note := b.tell(now, false)
	b.mu.Unlock()
	if note != nil {
		if _, err := b.out.Write(note); err != nil {
			return 0, err
		}
	}
	if !fits {
		return len(line), nil
	}
	return b.out.Write(line)
}

// Counts returns how many lines there were of each event, written or not, and how many were left out.
func (b *LimitedWriter) Counts() (seen map[int]uint64, left uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.seen), b.left
}

// Flush tells what was left out since it was told last.
func (b *LimitedWriter) Flush() {
	b.mu.Lock()
	note := b.tell(b.now(), true)
	b.mu.Unlock()
	if note != nil {
		_, _ = b.out.Write(note)
	}
}

// allow takes a line from its event's allowance; the lock is held.
func (b *LimitedWriter) allow(now time.Time, event, size int) bool {
	a := b.allowances[event]
	if a == nil {
		a = newAllowance(limitOf(event))
		b.allowances[event] = a
	}
	return a.take(now, size)
}

// tell returns a line with what was left out, nil if there is nothing to tell yet; the lock is held.
func (b *LimitedWriter) tell(now time.Time, atOnce bool) []byte {
	if len(b.untold) == 0 || !atOnce && now.Sub(b.toldAt) < tellEvery {
		return nil
	}
	line, err := json.Marshal(struct {
		Level   string         `json:"level"`
		Event   int            `json:"event"`
		Name    string         `json:"name"`
		LeftOut map[string]int `json:"left_out"`
		Time    string         `json:"time"`
	}{LinesSuppressed.Level.String(), LinesSuppressed.Number, LinesSuppressed.Name, b.untold, now.Format(time.RFC3339Nano)})
	if err != nil {
		return nil
	}
	clear(b.untold)
	b.toldAt = now
	return append(line, '\n')
}

// eventKey stands before an event's number in its line.
var eventKey = []byte(`"event":`)

// eventOf reads the number of a line's event, 0 for a line without one.
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
