package store

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/platform"
)

// historyLength is how many changes the stand-in can tell a feed of.
const historyLength = 10000

// Faults are what goes wrong with the platform from now on.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis slows every call.
	DelayMillis int `json:"delay_millis"`
	// LoseReplies is how many transactions take effect without an answer.
	LoseReplies int `json:"lose_replies"`
	// LateMillis is how much later those transactions take effect, if their conditions hold then.
	LateMillis int `json:"late_millis"`
	// TurnAway refuses the calls that come with one of these tokens.
	TurnAway []string `json:"turn_away"`
	// FeedRows is how many rows an answer of a feed holds at the most, 0 for all. Such an answer is not whole.
	FeedRows int `json:"feed_rows"`
	// ForgetHistory drops what feeds could tell, once.
	ForgetHistory bool `json:"forget_history"`
}

// Stats count the calls since the start.
type Stats struct {
	// Reads are rows, feeds and objects read.
	Reads int64 `json:"reads"`
	// Writes are transactions, committed or not, and objects written.
	Writes int64 `json:"writes"`
}

// rowKey names a row as the store's protocol does.
type rowKey struct{ table, part, key string }

// change is one entry of the history.
type change struct {
	row     platform.WireRow
	version uint64
}

// Store is the platform's state.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]platform.WireRow
	history []change
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	// changed is closed when waiting feeds must look again.
	changed chan struct{}
	objects map[string][]byte
	faults  Faults
	stats   Stats
	start   time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows: make(map[rowKey]platform.WireRow), objects: make(map[string][]byte),
		changed: make(chan struct{}), start: time.Now(),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.ForgetHistory {
		s.forgotten, s.history = s.version, nil
	}
	// Waiting feeds look again, and so meet the faults.
	s.wake()
}

// Stats returns the counts of calls.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// enter counts a call and returns whether it must fail and how long it takes.
func (s *Store) enter(write bool, token string) (down bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	return s.refuses(token), time.Duration(s.faults.DelayMillis) * time.Millisecond
}

// refuses tells whether a call with a token must fail; the lock is held.
func (s *Store) refuses(token string) bool {
	return s.faults.Down || slices.Contains(s.faults.TurnAway, token)
}

// loseReply tells whether the next transaction's answer is lost, and how much later it takes effect.
func (s *Store) loseReply() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false, 0
	}
	s.faults.LoseReplies--
	return true, time.Duration(s.faults.LateMillis) * time.Millisecond
}

// query is one read of rows.
type query struct {
	table, part, from, to string
	limit                 int
}

// read answers one read of rows.
func (s *Store) read(q query) platform.WireReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.reply()
	for id, row := range s.rows {
		if id.table == q.table && id.part == q.part && id.key >= q.from && (q.to == "" || id.key < q.to) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b platform.WireRow) int { return cmp.Compare(a.Key, b.Key) })
	if len(reply.Rows) > q.limit {
		reply.Rows, reply.More = reply.Rows[:q.limit], true
	}
	return reply
}

// reply returns an answer without rows; the lock is held.
func (s *Store) reply() platform.WireReply {
	return platform.WireReply{Rows: []platform.WireRow{}, Version: s.version, Now: time.Since(s.start).Seconds()}
}

// feed returns a table's changes after a version once there are some; gone when the history does not reach back so far.
func (s *Store) feed(ctx context.Context, table string, after uint64, token string) (reply platform.WireReply, gone, down bool) {
	for {
		s.mu.Lock()
		reply = s.reply()
		gone, down = after < s.forgotten, s.refuses(token)
		for _, c := range s.history {
			if c.version > after && c.row.Table == table {
				reply.Rows = append(reply.Rows, c.row)
			}
		}
		if n := s.faults.FeedRows; n > 0 && len(reply.Rows) > n {
			reply.Rows, reply.More = reply.Rows[:n], true
		}
		wait := s.changed
		s.mu.Unlock()
		if gone || down || len(reply.Rows) > 0 {
			return reply, gone, down
		}
		select {
		case <-ctx.Done():
			return reply, false, false
		case <-wait:
		}
	}
}

// commit applies a transaction; ok is false when a condition does not hold, and the reply shows the rows then.
func (s *Store) commit(txn platform.WireTxn) (reply platform.WireReply, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	reply = s.reply()
	for _, want := range txn.Expected {
		row := s.rows[rowKey{want.Table, want.Part, want.Key}]
		ok = ok && row.Version == want.Version
		if row.Version != 0 {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if !ok {
		return reply, false
	}
	s.version++
	for _, w := range txn.Set {
		s.put(platform.WireRow{Table: w.Table, Part: w.Part, Key: w.Key, Value: w.Value, Version: s.version})
	}
	for _, k := range txn.Remove {
		s.take(rowKey{k.Table, k.Part, k.Key})
	}
	s.wake()
	return s.reply(), true
}

// put writes a row; the lock is held.
func (s *Store) put(row platform.WireRow) {
	s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	s.note(row)
}

// take takes a row out; the lock is held.
func (s *Store) take(k rowKey) {
	delete(s.rows, k)
	s.note(platform.WireRow{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Removed: true})
}

// note adds a change to the history; the lock is held.
func (s *Store) note(row platform.WireRow) {
	s.history = append(s.history, change{row: row, version: s.version})
	if extra := len(s.history) - historyLength; extra > 0 {
		s.forgotten = s.history[extra-1].version
		s.history = slices.Clone(s.history[extra:])
	}
}

// wake lets every waiting feed look again; the lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOperatorRow writes a row as the platform's operators do, under their own table.
func (s *Store) SetOperatorRow(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(platform.WireRow{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return s.version
}

// RemoveOperatorRow takes a row of the platform's operators out.
func (s *Store) RemoveOperatorRow(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.take(rowKey{table: table, key: key})
	s.wake()
	return s.version
}

func (s *Store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	return body, ok
}

func (s *Store) putObject(name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = body
}
