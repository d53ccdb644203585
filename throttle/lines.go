package throttle

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// lineInterval is the minimum time between two log lines of one name.
	lineInterval = time.Second
	// maxLines bounds the names whose lines are counted, at about 200 bytes each.
	maxLines = 4096
)

// Lines replaces a log line for each of many similar refusals by at most one a second for each name, with their number.
// It does not lock: the caller serializes access.
type Lines[K comparable] struct {
	counts *simplelru.LRU[K, *lineCount]
}

// lineCount counts the refusals of one name that no line has told yet. nextAt is when the next line may be written.
type lineCount struct {
	n      int
	nextAt time.Time
}

// NewLines returns a Lines that has counted nothing.
func NewLines[K comparable]() *Lines[K] {
	l, err := simplelru.NewLRU[K, *lineCount](maxLines, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return &Lines[K]{counts: l}
}

// Add counts a refusal. If a line is due, it returns the number of refusals for the line to tell, else 0.
func (l *Lines[K]) Add(now time.Time, name K) int {
	c, ok := l.counts.Get(name)
	if !ok {
		c = new(lineCount)
		l.counts.Add(name, c)
	}
	c.n++
	return c.take(now)
}

// take returns the number for a line that is due, 0 if none is.
func (c *lineCount) take(now time.Time) int {
	if c.n == 0 || now.Before(c.nextAt) {
		return 0
	}
	n := c.n
	c.n, c.nextAt = 0, now.Add(lineInterval)
	return n
}

// Due calls f for each name whose line is due, with the number of refusals for the line to tell: without it, the
// refusals after the last line of a name would be told only with that name's next refusal.
func (l *Lines[K]) Due(now time.Time, f func(name K, n int)) {
	for _, name := range l.counts.Keys() {
		c, _ := l.counts.Peek(name)
		if n := c.take(now); n > 0 {
			f(name, n)
			continue
		}
		if c.n == 0 && !now.Before(c.nextAt) {
			l.counts.Remove(name)
		}
	}
}
