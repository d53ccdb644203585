package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// Faults are what goes wrong with the platform from now on.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis slows every call.
	DelayMillis int `json:"delay_millis"`
	// LoseReplies is how many commits take effect without an answer.
	LoseReplies int `json:"lose_replies"`
}

// Stats count the calls since the start.
type Stats struct {
	// Reads are gets, scans, host lists and objects read.
	Reads int64 `json:"reads"`
	// Writes are commits, committed or not, and objects written.
	Writes int64 `json:"writes"`
}

// Store is the platform's state.
type Store struct {
	mu      sync.Mutex
	commits uint64
	records map[string]platform.Record
	keys    []string
	objects map[string][]byte
	hosts   []table.HostInfo
	faults  Faults
	stats   Stats
}

// New returns an empty store.
func New() *Store {
	return &Store{records: make(map[string]platform.Record), objects: make(map[string][]byte)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(hosts []table.HostInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// Stats returns the counts of calls.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// enter counts a call and returns whether it must fail and how long it takes.
func (s *Store) enter(write bool) (down bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	return s.faults.Down, time.Duration(s.faults.DelayMillis) * time.Millisecond
}

func (s *Store) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Store) get(keys []string) []platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]platform.Record, 0, len(keys))
	for _, key := range keys {
		rec := s.records[key]
		rec.Key = key
		out = append(out, rec)
	}
	return out
}

func (s *Store) scan(prefix, after string, limit int) platform.Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out platform.Records
	start := max(after+"\x00", prefix)
	for i := sort.SearchStrings(s.keys, start); i < len(s.keys); i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(out.Records) == limit {
			out.More = true
			break
		}
		out.Records = append(out.Records, s.records[key])
	}
	return out
}

func (s *Store) commit(txn platform.Txn) platform.TxnReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Checks {
		if s.records[c.Key].Version != c.Version {
			return platform.TxnReply{}
		}
	}
	s.commits++
	for _, w := range txn.Writes {
		s.write(w)
	}
	return platform.TxnReply{Committed: true, Version: s.commits}
}

func (s *Store) write(w platform.Write) {
	i := sort.SearchStrings(s.keys, w.Key)
	_, exists := s.records[w.Key]
	if w.Delete {
		if exists {
			s.keys = append(s.keys[:i], s.keys[i+1:]...)
			delete(s.records, w.Key)
		}
		return
	}
	if !exists {
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = w.Key
	}
	s.records[w.Key] = platform.Record{Key: w.Key, Version: s.commits, Value: w.Value}
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

func (s *Store) hostList() platform.Hosts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Hosts{Hosts: s.hosts}
}
