package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// hint reports that a peer has a later revision of some source.
type hint struct {
	peer      string
	revisions table.Revisions
}

func (m hint) apply(ctx context.Context, f *Follower) {
	f.lastPeerMessage = time.Now()
	f.noteWord()
	address := f.addressOf(m.peer)
	if address == "" || !f.State().Revisions().Behind(m.revisions) {
		return
	}
	w, ok := f.wanted[address]
	if !ok {
		w.since = time.Now()
	}
	// An earlier hint may still be pending: this one must stay wanted after the revisions of the earlier one are active.
	w.revisions, w.pulls = w.revisions.Latest(m.revisions), 0
	f.wanted[address] = w
	f.pullNext(ctx)
}

// pendingPull holds the revisions that a peer has and this node lacks.
type pendingPull struct {
	revisions table.Revisions
	since     time.Time
	// pulls counts the pulls made for them; notBefore is the earliest time of the next one.
	pulls     int
	notBefore time.Time
}

const (
	// maxPulls limits the pulls from a peer after one hint: an answer may be lost, or not apply to the state that is
	// active by then. Without a second pull, a node would wait for the next hint, which takes four seconds on an idle
	// link.
	maxPulls = 3
	// maxPullsInFlight limits the pulls at the same time. pullHedgeDelay is how long the pull that began last may stay
	// unanswered before another begins: its link may have gone silent, which shows only later.
	maxPullsInFlight = 3
	pullHedgeDelay   = 200 * time.Millisecond
	// pullRetryInterval is the minimum time between two such pulls.
	pullRetryInterval = 100 * time.Millisecond
)

// addressOf returns the address of a peer given by its address or its host id; "" if the peer is not known.
func (f *Follower) addressOf(name string) string {
	for _, h := range f.Snapshot().Hosts {
		if h.ID == name || h.Address == name {
			return h.Address
		}
	}
	if slices.Contains(f.cfg.Seeds, name) {
		return name
	}
	return ""
}

// pullNext pulls from a peer that has a later revision. A pull that is not answered in time does not hold up a pull from another
// peer.
func (f *Follower) pullNext(ctx context.Context) {
	now := time.Now()
	if len(f.pulls) >= maxPullsInFlight {
		return
	}
	if due := f.nextPullAllowed(); now.Before(due) {
		f.pullAgainAt(due)
		return
	}
	best, next := "", time.Time{}
	for address, w := range f.wanted {
		if _, inFlight := f.pulls[address]; inFlight {
			continue
		}
		if !f.State().Revisions().Behind(w.revisions) {
			delete(f.wanted, address)
			continue
		}
		if due := latest(w.since.Add(f.pullDelayFor(w.revisions)), w.notBefore); now.Before(due) {
			next = earliest(next, due)
			continue
		}
		if best == "" || f.isBetterSource(address, best) {
			best = address
		}
	}
	if best == "" {
		f.pullAgainAt(next)
		return
	}
	w := f.wanted[best]
	w.pulls, w.notBefore = w.pulls+1, now.Add(pullRetryInterval)
	f.wanted[best] = w
	if w.pulls == maxPulls {
		delete(f.wanted, best)
	}
	f.pull(ctx, best)
}

// nextPullAllowed returns the time from which another pull may begin beside those in flight, zero if there are none.
func (f *Follower) nextPullAllowed() time.Time {
	var at time.Time
	for _, began := range f.pulls {
		at = latest(at, began.Add(pullHedgeDelay))
	}
	return at
}

// isBetterSource reports whether a pull is rather made from peer a than from peer b: from this hall, and over a link that has
// proved itself more recently, as the other may have gone silent.
func (f *Follower) isBetterSource(a, b string) bool {
	if inHall := f.inOwnHall(a); inHall != f.inOwnHall(b) {
		return inHall
	}
	return f.links.LastHeard(a).After(f.links.LastHeard(b))
}

// pullAgainAt has pullNext run at a time, if that is not zero.
func (f *Follower) pullAgainAt(at time.Time) {
	if !at.IsZero() {
		f.pullDue.Reset(time.Until(at))
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier of two times, of which the first may be zero for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// pullDelayFor returns how long this node waits to read the revisions of a peer itself before it pulls them: 0 if it
// lacks changes of a source that it does not read.
func (f *Follower) pullDelayFor(shown table.Revisions) time.Duration {
	active := f.State().Revisions()
	reads := map[table.Source]bool{
		table.SourceRows: f.reading.Load(), table.SourceHosts: f.reading.Load(), table.SourceConfig: f.readingConfig.Load(),
		table.SourcePoison: f.reading.Load(), table.SourceHalls: f.readingConfig.Load(),
	}
	wait := pullHostsDelay
	for source, readsSource := range reads {
		switch {
		case active[source] >= shown[source]:
		case !readsSource:
			return 0
		case source != table.SourceHosts && source != table.SourcePoison:
			wait = pullDelay
		}
	}
	return wait
}

// inOwnHall reports whether a peer is in this hall.
func (f *Follower) inOwnHall(address string) bool {
	for _, h := range f.Snapshot().Hosts {
		if h.Address == address {
			return h.Hall == f.cfg.Hall
		}
	}
	return false
}

// askSeeds pulls from the next seed that was not asked yet; it starts over if all were asked and none had a
// configuration.
func (f *Follower) askSeeds(ctx context.Context) {
	if len(f.pulls) > 0 {
		return
	}
	for _, seed := range f.cfg.Seeds {
		if !f.seedsAsked[seed] {
			f.pull(ctx, seed)
			return
		}
	}
	if !f.holdsConfig(f.Snapshot()) {
		clear(f.seedsAsked)
	}
}

// pull asks one peer for the missing changes, without blocking the caller. If a peer does not even accept the query, as
// on a link that no longer carries data, pulls from other peers are held up for no longer than Config.Timeout.
func (f *Follower) pull(ctx context.Context, address string) {
	f.pulls[address] = time.Now()
	from := f.State().Revisions()
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	answer := make(chan pullResult, 1)
	go func() {
		defer cancel()
		m := pullResult{address: address}
		m.parts, m.err = f.pullFrom(ctx, address, from)
		answer <- m
	}()
	go func() {
		select {
		case m := <-answer:
			f.deliver(m)
		case <-ctx.Done():
			f.deliver(f.timedOutPull(ctx, address, answer))
		}
	}()
}

// timedOutPull returns the result of a pull whose timeout has expired: its answer, if that arrived at the same moment.
func (f *Follower) timedOutPull(ctx context.Context, address string, answer <-chan pullResult) pullResult {
	select {
	case m := <-answer:
		return m
	default:
		return pullResult{address: address, err: fault.Wrap(ctx.Err(), fault.DeadlineExceeded, address, "pull timed out")}
	}
}

func (f *Follower) pullFrom(ctx context.Context, address string, from table.Revisions) ([]*peerpb.Delta, error) {
	s, err := f.links.Renew(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Pull(ctx, from)
}

// pullResult is the result of one pull.
type pullResult struct {
	address string
	parts   []*peerpb.Delta
	err     error
}

func (m pullResult) apply(ctx context.Context, f *Follower) {
	delete(f.pulls, m.address)
	f.seedsAsked[m.address] = true
	err := m.err
	if err == nil {
		f.lastPeerMessage = time.Now()
		f.noteWord()
		f.pulledFrom = m.address
		err = f.applyParts(m.parts)
		f.pulledFrom = ""
	}
	if code := fault.CodeOf(err); code == fault.BadRow || code == fault.Protocol {
		f.recordSourceStatus(table.SourceRows, err)
	}
	f.checkReady()
	if !f.Snapshot().Ready {
		f.askSeeds(ctx)
	}
	f.pullNext(ctx)
}

// applyParts activates a peer's deltas. A delta that is not newer changes nothing; one that cannot be applied does not
// keep the others from being applied.
func (f *Follower) applyParts(parts []*peerpb.Delta) error {
	deltas, hosts := deltasFromParts(parts)
	var failed error
	for _, d := range deltas {
		if err := f.apply(d); err != nil {
			failed = err
		}
	}
	if hosts != nil {
		f.activateHostChanges(*hosts)
	}
	return failed
}
