package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// AnnounceDraining notifies all connected peers that this node accepts no new requests.
func (m *Manager) AnnounceDraining() {
	m.draining.Store(true)
	m.notifyPeers(func(subscriber) bool { return true })
}

// AnnounceReads tells the connected peers of this hall whether the platform answers the reads of this node.
func (m *Manager) AnnounceReads(unanswered bool) {
	if m.readsUnanswered.Swap(unanswered) != unanswered {
		m.notifyPeers(func(p subscriber) bool { return p.hall == m.cfg.Hall })
	}
}

// subscriber is a connected peer that is notified of changes.
type subscriber struct{ node, hall string }

// Announce sets the revisions of the active configuration and notifies the connected peers of this hall, and those of other halls
// for which also returns true. The remaining ones, to which bandwidth is expensive, learn the revisions from the next heartbeat.
func (m *Manager) Announce(revisions table.Revisions, also func(node string) bool) {
	if old := m.revisions.Swap(&revisions); *old != revisions {
		m.notifyPeers(func(p subscriber) bool { return p.hall == m.cfg.Hall || also(p.node) })
	}
}

// notifyPeers has a heartbeat sent now to the connected peers for which matches returns true.
func (m *Manager) notifyPeers(matches func(subscriber) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, p := range m.subscribers {
		if !matches(p) {
			continue
		}
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// subscribe returns a channel that receives a value when a heartbeat should be sent to a peer.
func (m *Manager) subscribe(p subscriber) chan struct{} {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[c] = p
	return c
}

func (m *Manager) unsubscribe(c chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subscribers, c)
}

// SendPoisonReport sends a report to at most maxPeers connected peers, to all of them if maxPeers is negative; it does
// not wait. The report names an endpoint that crashed and the requests that it was running, or requests that ran well
// elsewhere. The peers are chosen at random: a report that is passed on from node to node must not circulate among
// neighbours only. The handler gets the peers' answers.
func (m *Manager) SendPoisonReport(report *peerpb.Ended, maxPeers int) {
	sessions := m.dialed()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] }) //nolint:gosec // spreads reports, needs no secrecy
	if maxPeers >= 0 {
		sessions = sessions[:min(maxPeers, len(sessions))]
	}
	for _, s := range sessions {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			// A peer that misses the report learns its content from the rows of the poison requests.
			reply, err := s.call(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Ended{Ended: report}})
			if err == nil && reply.GetEnded() != nil {
				m.handler.HandlePoisonReport(reply.GetEnded())
			}
		}()
	}
}

// reportTimeout bounds the report to one peer: several round trips between regions.
const reportTimeout = 500 * time.Millisecond

// handleBeat calls the revision hook if the heartbeat of a peer reports a newer revision of some source.
func (m *Manager) handleBeat(peer string, b *peerpb.Beat) {
	if r := revisionsOf(b.GetRevisions()); m.revisions.Load().Behind(r) {
		m.onNewRevisions(peer, r)
	}
}

// beat returns a heartbeat with the revisions of this node and whether it drains.
func (m *Manager) beat() *peerpb.Beat {
	return &peerpb.Beat{Revisions: revisionsToWire(*m.revisions.Load()), Leaving: m.draining.Load(), ReadsUnanswered: m.readsUnanswered.Load()}
}

// revisionsOf decodes the revisions of a message.
func revisionsOf(r *peerpb.Revisions) table.Revisions {
	var out table.Revisions
	out[table.SourceRows] = r.GetRows()
	out[table.SourceConfig] = r.GetConfig()
	out[table.SourceHosts] = r.GetHosts()
	out[table.SourcePoison] = r.GetFatal()
	out[table.SourceHalls] = r.GetHalls()
	return out
}

// revisionsToWire encodes revisions for a message.
func revisionsToWire(r table.Revisions) *peerpb.Revisions {
	return &peerpb.Revisions{
		Rows: r[table.SourceRows], Config: r[table.SourceConfig], Hosts: r[table.SourceHosts], Fatal: r[table.SourcePoison],
		Halls: r[table.SourceHalls],
	}
}
