package maxrate

import "time"

const (
	// seriesWindow is how long after a start of the node another one counts as in a series: the window of the bound and the
	// time from an admission to its arrival.
	seriesWindow = 4300 * time.Millisecond
	// openingInterval is the time between two requests that find out what the endpoint states, unless the node is certain that
	// no earlier life of it has sent any within seriesWindow. Two of them and a burst stay within the bound.
	openingInterval = seriesWindow / 2
	// firstOpenings is how many such requests may be sent at once if no earlier life of the node can have sent any.
	firstOpenings = 4
	// secondOpeningDelay is how long the first such request may remain unanswered before a second one is sent.
	secondOpeningDelay = 300 * time.Millisecond
	// peerTimeout is how long after its start a process expects peers to tell of earlier lives of its node.
	peerTimeout = 500 * time.Millisecond
)

// Life is what a node's process knows of the starts of its node. It is immutable. With the zero value nothing is limited
// before the endpoint's first answer.
//
// A limiter that has no statement yet sends requests to find out. Each start of the process would grant them anew, so
// that starts in series add up. The peers remember when they first heard of earlier lives of the node.
type Life struct {
	// started is when this process started.
	started time.Time
	// earlier is when the latest earlier life was first heard of; known is set once a peer has said so, or that it knows of
	// none.
	earlier time.Time
	known   bool
	// unrecorded is set if the store held no announcement of the node when this process started.
	unrecorded bool
}

// NewLife returns the life of a process that does not know yet whether another one preceded it.
func NewLife(started time.Time) Life { return Life{started: started} }

// WithEarlier returns the life after a peer has told that it first heard of the latest earlier life at the given time, the
// zero time for none. The latest one of several counts.
func (l Life) WithEarlier(at time.Time) Life {
	l.known = true
	if at.After(l.earlier) {
		l.earlier = at
	}
	return l
}

// WithoutRecord returns the life of a process that found no announcement of its node in the store.
func (l Life) WithoutRecord() Life {
	l.unrecorded = true
	return l
}

// isFirst reports whether neither the store nor a peer knows of an earlier life.
func (l Life) isFirst() bool { return l.unrecorded && l.known && l.earlier.IsZero() }

// inSeries reports whether an earlier process may have sent requests within seriesWindow before this one.
func (l Life) inSeries() bool {
	return !l.known || !l.earlier.IsZero() && l.started.Sub(l.earlier) < seriesWindow
}

// opensAt returns when the first request may be sent that finds out what the endpoint states.
func (l Life) opensAt() time.Time {
	if !l.inSeries() {
		return l.started
	}
	alone := l.started.Add(openingInterval)
	if afterSeries := l.earlier.Add(seriesWindow); l.known && afterSeries.Before(alone) {
		return afterSeries
	}
	return alone
}
