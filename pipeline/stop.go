package pipeline

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// finishTimeout bounds the reading of a request while the server stops. A request that is not whole by then is refused.
	finishTimeout = 500 * time.Millisecond
	// maxAcceptFailures bounds the failed accepts after which the connections in the listener's queue are given up.
	maxAcceptFailures = 50
	// closedPollInterval is the interval at which awaitClosed checks whether connections are still open.
	closedPollInterval = 5 * time.Millisecond
)

// Stop drains the server, waits for the requests in flight as long as ctx allows, then closes the listener and the
// connections.
//
// Invariant: unless ctx ends, no connection is closed by Stop while a request lies unread on it. A request may have arrived
// long before Stop and not have been read, for example when the process was suspended: its connection may even still be in
// the listener's queue. So the queue is accepted before the listener is closed, and each connection is closed by the
// goroutine that reads it, once that has found nothing to read. What it finds is refused as not run.
//
// Connections that linger, because their last answer may not have been read yet, continue to discard what their callers
// send until they close by themselves or ctx ends: closing a socket that holds unread bytes resets the connection, and the
// answer would be lost.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if s.listener == nil {
		return nil
	}
	err := s.inFlight.Wait(ctx, s.name)
	s.Refuse()
	s.stopping.Store(true)
	_ = s.listener.SetDeadline(time.Now())
	<-s.acceptDone
	for _, c := range s.openConns() {
		c.finish()
	}
	s.awaitClosed(ctx)
	for _, c := range s.openConns() {
		c.shutdown(nil)
	}
	return err
}

// acceptQueued accepts the connections in the listener's queue.
func (s *Server) acceptQueued(l Listener) {
	for failures := 0; failures < maxAcceptFailures && hasUnread(l); {
		_ = l.SetDeadline(time.Now().Add(finishTimeout))
		c, err := l.Accept()
		if err != nil {
			failures++
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.admit(c)
	}
}

// LateRequests returns the number of requests that had arrived and were not read before Stop closed their connections.
func (s *Server) LateRequests() int64 { return s.late.Load() }

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// awaitClosed waits until all connections are closed; a lingering one closes by itself after lingerTimeout at the latest.
func (s *Server) awaitClosed(ctx context.Context) {
	tick := time.NewTicker(closedPollInterval)
	defer tick.Stop()
	for len(s.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// finish has the connection closed once no request on it is unread or in flight.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishBy = time.Now()
	if c.reading {
		c.finishBy = c.finishBy.Add(finishTimeout)
	}
	if !c.lingers {
		_ = c.raw.SetReadDeadline(c.finishBy)
	}
}

// finishing reports whether the server stops.
func (c *conn) finishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.finishBy.IsZero()
}

// extendFinish begins the time for reading a request anew if the server stops, and returns its end.
func (c *conn) extendFinish(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extendFinishLocked(now)
}

func (c *conn) extendFinishLocked(now time.Time) time.Time {
	if !c.finishBy.IsZero() {
		c.finishBy = now.Add(finishTimeout)
	}
	return c.finishBy
}

// beginReading records that a request is being read.
func (c *conn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if !c.finishBy.IsZero() {
		c.s.late.Add(1)
	}
	c.extendFinishLocked(time.Now())
}

// endReading records that a request was read or has failed to be.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// hasUnread reports whether a connection has bytes to read or has been closed by its other side, or a listener has
// connections to accept. Unlike a read, it does not depend on the socket's deadline.
func hasUnread(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // a file descriptor
		for again := true; again; {
			var failed error
			ready, failed = unix.Poll(fds, 0)
			again = errors.Is(failed, unix.EINTR)
		}
	})
	return err == nil && ready > 0
}
