package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Session is a dialed link to one peer.
type Session struct {
	m         *Manager
	address   string
	mux       *yamux.Session
	suspect   atomic.Bool
	leaving   atomic.Bool
	pinned    atomic.Bool
	inFlight  atomic.Int64
	usedAt    atomic.Int64
	roundTrip atomic.Int64
	done      chan struct{}
	wake      chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	pending   uint64
	pendingAt time.Time
}

// used notes that the link carries a request, and wakes the heartbeat of one that was idle.
func (s *Session) used() {
	now := time.Now().UnixNano()
	if now-s.usedAt.Swap(now) < int64(s.m.cfg.Heartbeat) {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Session) lastUse() time.Time { return time.Unix(0, s.usedAt.Load()) }

func (s *Session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.mux.Close()
		s.m.forget(s)
		events.LinkClosed.Log(s.m.log).Str("peer", s.address).Send()
	})
}

// Pull asks the peer for every change after these revisions.
func (s *Session) Pull(ctx context.Context, from table.Revisions) ([]*peerpb.Delta, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkDown, s.address, "stream cannot be opened")
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Pull{Pull: &peerpb.Pull{From: revisionsToWire(from)}}}); err != nil {
		return nil, err
	}
	r := NewFrameReader(stream)
	var parts []*peerpb.Delta
	for {
		f, err := r.Read()
		if err != nil {
			return nil, fault.Wrap(err, fault.LinkLost, s.address, "changes broke off")
		}
		d := f.GetDelta()
		if d == nil {
			return nil, fault.New(fault.Protocol, s.address, "want changes")
		}
		parts = append(parts, d)
		if !d.GetMore() {
			return parts, nil
		}
	}
}

// Settle tells the peer how a claimed request ended; LinkLost when that cannot be confirmed.
func (s *Session) Settle(ctx context.Context, msg *peerpb.Settle) error {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return fault.Wrap(err, fault.LinkDown, s.address, "stream cannot be opened")
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Settle{Settle: msg}}); err != nil {
		return err
	}
	_, err = NewFrameReader(stream).Read()
	return err
}
