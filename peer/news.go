package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Leave tells every peer that this node takes nothing new.
func (m *Manager) AnnounceDraining() {
	m.leaving.Store(true)
	m.tell(func(string) bool { return true })
}

// Announce tells the connected peers of this hall the revisions in force; those of other halls, the links to which are
// dear, hear of them by the next heartbeat.
func (m *Manager) Announce(revisions table.Revisions) {
	if old := m.revisions.Swap(&revisions); *old != revisions {
		m.tell(func(hall string) bool { return hall == m.cfg.Hall })
	}
}

// tell has a beat sent to the connected peers of some halls.
func (m *Manager) tell(which func(hall string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, hall := range m.subscribers {
		if !which(hall) {
			continue
		}
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// subscribe returns a channel that is told of news for peers of a hall.
func (m *Manager) subscribe(hall string) chan struct{} {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[c] = hall
	return c
}

func (m *Manager) unsubscribe(c chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subscribers, c)
}

// TellEnded tells at most so many connected peers, all of them below 0, of an endpoint that ended; it does not wait. Which ones is drawn: a
// word that goes from hand to hand must not stay among neighbours.
func (m *Manager) SendPoisonReport(word *peerpb.Ended, most int) {
	sessions := m.dialed()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] }) //nolint:gosec // spreads the word, no secret
	if most >= 0 {
		sessions = sessions[:min(most, len(sessions))]
	}
	for _, s := range sessions {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			// One that does not hear it hears of the row.
			_, _ = s.ask(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Ended{Ended: word}})
		}()
	}
}

// tellTimeout bounds the telling of one peer: several round trips between regions.
const tellTimeout = 500 * time.Millisecond

// heardBeat passes on that a peer shows a later revision of something.
func (m *Manager) heardBeat(peer string, b *peerpb.Beat) {
	if r := revisionsOf(b.GetRevisions()); m.revisions.Load().Behind(r) {
		m.onBeat(peer, r)
	}
}

// beat returns a beat that shows what this node holds.
func (m *Manager) beat() *peerpb.Beat {
	return &peerpb.Beat{Revisions: revisionsToWire(*m.revisions.Load()), Leaving: m.leaving.Load()}
}

func revisionsOf(r *peerpb.Revisions) table.Revisions {
	var out table.Revisions
	out[table.SourceRows] = r.GetRows()
	out[table.SourceConfig] = r.GetConfig()
	out[table.SourceHosts] = r.GetHosts()
	out[table.SourcePoison] = r.GetFatal()
	out[table.SourceHalls] = r.GetHalls()
	return out
}

func revisionsToWire(r table.Revisions) *peerpb.Revisions {
	return &peerpb.Revisions{
		Rows: r[table.SourceRows], Config: r[table.SourceConfig], Hosts: r[table.SourceHosts], Fatal: r[table.SourcePoison],
		Halls: r[table.SourceHalls],
	}
}
