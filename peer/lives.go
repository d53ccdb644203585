package peer

import (
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// maxLives is how many peers' lives are remembered.
const maxLives = 4096

// life is what a node remembers of the starts of a peer.
type life struct {
	incarnation uint64
	// heardAt is when the present life was first heard of, earlierAt when the one before was, the zero time if none is known.
	heardAt, earlierAt time.Time
}

// lives remembers when a node first heard of the latest lives of its peers. It is not safe for concurrent use.
//
// A process that has just started learns from it whether its node was started shortly before: bounds that hold over a window
// of time may be used up by an earlier process.
type lives map[string]life

// hear records a message of a life of a peer and returns when the life before it was first heard of, the zero time if none is
// known.
func (l lives) hear(now time.Time, peer string, incarnation uint64) (earlierAt time.Time) {
	known, ok := l[peer]
	if ok && known.incarnation == incarnation {
		return known.earlierAt
	}
	if !ok && len(l) >= maxLives {
		delete(l, l.oldest())
	}
	next := life{incarnation: incarnation, heardAt: now}
	if ok {
		next.earlierAt = known.heardAt
	}
	l[peer] = next
	return next.earlierAt
}

// oldest returns the peer that was heard of first.
func (l lives) oldest() string {
	name, at := "", time.Time{}
	for peer, known := range l {
		if at.IsZero() || known.heardAt.Before(at) {
			name, at = peer, known.heardAt
		}
	}
	return name
}

// WithEarlierLifeHook calls f with what a peer to which this node has opened a link knows of the node's life before this
// process: how long ago it first heard of it, 0 if it knows of none; f must not block.
func WithEarlierLifeHook(f func(heardAgo time.Duration)) Option {
	return func(m *Manager) { m.onEarlierLife = f }
}

// earlierLife records the life of a peer that has opened a link, and returns what the peer is told of the one before.
func (m *Manager) earlierLife(hello *peerpb.Hello) *peerpb.EarlierLife {
	now := clock.Boot()
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.lives.hear(now, hello.GetNode(), hello.GetIncarnation())
	if at.IsZero() {
		return &peerpb.EarlierLife{}
	}
	return &peerpb.EarlierLife{HeardMicros: max(1, now.Sub(at).Microseconds())}
}
