package configsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// feedSlack is how much longer than its wait a read may take before another is made beside it: several round trips
	// and the time of the store for its answer.
	feedSlack = 200 * time.Millisecond
	// probeInterval is the time between two reads while none is answered. It bounds how long a change is missed once the path to the
	// store is back: a read that began before may never be answered.
	probeInterval = 750 * time.Millisecond
	// minTurn is the shortest wait of a read, as a fraction of the time between the turns of two readers: a read that ends
	// shortly before its turn is not followed by one that ends at it.
	minTurn = 4
)

// readerTurns makes the reads of one table. A connection to the store may go silent without a reset, so the readers of a hall
// read in turn, each time on a new connection: the one whose turn comes next finds a change that a silent connection
// withholds from the others. The turns follow the store's clock, which all readers share. One goroutine owns it.
type readerTurns struct {
	f      *Follower
	source table.Source
	// readers is the number of readers in the hall, period the time in which each of them has one turn.
	readers int
	period  time.Duration
	// phase shifts the turns of this table in this hall, so that not all halls read at the same moment.
	phase time.Duration
	// storeTime is the store's clock as last stated, at the local time readAt.
	storeTime time.Duration
	readAt    time.Time
	// unanswered is set while it is in doubt whether the store answers this node, announced while its peers are told so.
	unanswered, announced bool
}

func (f *Follower) newTurns(name string, readers int) readerTurns {
	source := table.SourceRows
	if name == platform.TableOperators {
		source = table.SourceConfig
	}
	readers = max(1, readers)
	period := max(f.cfg.LongPollTimeout, time.Millisecond)
	phase := xxhash.Sum64String(name+"\x00"+f.cfg.Hall) % uint64(period)
	return readerTurns{f: f, source: source, readers: readers, period: period, phase: time.Duration(phase), readAt: time.Now()} //nolint:gosec // less than period
}

// noteClock records the store's clock as an answer states it.
func (r *readerTurns) noteClock(recs platform.Records) {
	if recs.Now > 0 {
		r.storeTime, r.readAt = recs.Now, time.Now()
	}
}

// records waits for changes of a table after the cursor, or reads the whole table if it was not loaded yet.
func (r *readerTurns) records(ctx context.Context, name string, loaded bool, cursor uint64) (platform.Records, error) {
	if !loaded {
		recs, err := r.f.platform.All(platform.WithReason(ctx, platform.ReasonLoad), name)
		r.noteClock(recs)
		return recs, err
	}
	reason := platform.ReasonHosts
	if name == platform.TableOperators {
		reason = platform.ReasonConfig
	}
	recs, err := r.feed(platform.WithReason(ctx, reason), name, cursor)
	r.noteClock(recs)
	recs.Version = recs.Shown()
	return recs, err
}

// feedResult is the result of one of the reads that are in flight at the same time.
type feedResult struct {
	// number counts the reads, from 1.
	number int
	recs   platform.Records
	err    error
}

// feed waits for changes of a table after the cursor. A read that gives no answer when its wait is over, or that was under way
// when connections of this node went silent, is left to its timeout, and others that do not wait for a change are made beside it
// until one is answered. The first answer counts, and the failure of the newest read. No read outlasts the call.
func (r *readerTurns) feed(ctx context.Context, name string, cursor uint64) (platform.Records, error) {
	var reads sync.WaitGroup
	defer reads.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan feedResult)
	begun := 0
	begin := func() <-chan time.Time {
		begun++
		number, wait := begun, r.wait(time.Now())
		overdue := wait + feedSlack
		if r.unanswered {
			wait, overdue = 0, probeInterval
		}
		reads.Go(func() {
			recs, err := r.f.platform.Feed(ctx, name, cursor, wait)
			select {
			case results <- feedResult{number: number, recs: recs, err: err}:
			case <-ctx.Done():
			}
		})
		return time.After(overdue)
	}
	silence := r.f.silence.next()
	overdue := begin()
	for {
		select {
		case <-ctx.Done():
			return platform.Records{}, ctx.Err()
		case <-overdue:
			r.unanswered = true
			r.announce(true)
			overdue = begin()
		case <-silence:
			silence = r.f.silence.next()
			r.unanswered = true
			overdue = begin()
		case res := <-results:
			if res.err == nil || res.number == begun {
				r.noteAnswer(res.err == nil || fault.CodeOf(res.err) == fault.Gone)
				return res.recs, res.err
			}
		}
	}
}

// noteAnswer records whether the store answers.
func (r *readerTurns) noteAnswer(answered bool) {
	if answered && r.unanswered {
		r.log(events.ReadsAnswered)
	}
	r.unanswered = !answered
	r.announce(!answered)
}

// log logs an event with the time since the last answer.
func (r *readerTurns) log(event events.Event) {
	event.Log(r.f.log).Str("plane", r.source.String()).Dur("after", time.Since(r.readAt)).Send()
}

// announce tells the peers whether reads are unanswered, so that others read in this node's place.
func (r *readerTurns) announce(unanswered bool) {
	if r.announced == unanswered {
		return
	}
	r.announced = unanswered
	change := int32(-1)
	if unanswered {
		change = 1
		r.log(events.ReadsUnanswered)
	}
	r.f.links.AnnounceReads(r.f.unansweredTables.Add(change) > 0)
}

// wait returns how long a read that begins now waits for a change: until the next turn of this reader.
func (r *readerTurns) wait(now time.Time) time.Duration {
	at := r.storeTime + now.Sub(r.readAt) + r.phase
	index, readers := r.f.readerIndex(r.readers)
	return turnWait(at, r.period*time.Duration(readers)/time.Duration(r.readers), index, readers)
}

// turnWait returns the time to the next turn of a reader, given the time on the shared clock, the time in which each reader has
// one turn, and the reader's place among all.
func turnWait(at, period time.Duration, index, readers int) time.Duration {
	step := period / time.Duration(readers)
	wait := period - (at-step*time.Duration(index)+period)%period
	if wait < step/minTurn {
		wait += period
	}
	return wait
}

// readerIndex returns the turn of this node among the readers of a table in its hall, and their number: those that it can reach and
// that the platform answers, so that fewer readers read more often. A node that is none of them takes one of the turns.
func (f *Follower) readerIndex(count int) (index, readers int) {
	answered := f.answeredReaders(count)
	if i := slices.IndexFunc(answered, f.isSelf); i >= 0 {
		return i, len(answered)
	}
	rank := slices.IndexFunc(f.Snapshot().ranked.byHall[f.cfg.Hall], f.isSelf)
	return max(0, rank) % count, count
}
