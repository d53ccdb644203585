package skipped

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
)

// mostEntries bounds what is remembered; another writer may fill a table with what nobody can read.
const mostEntries = 1000

// Source is where entries come from.
type Source string

// The sources of entries.
const (
	// Configuration is the configuration that the platform's operators keep.
	Configuration Source = "configuration"
	// Halls is what the platform's operators say of halls.
	Halls Source = "halls"
	// Records is the product's own table: operators' rows, lines of hosts, ends of endpoints.
	Records Source = "records"
	// Table is the table in force, to which peers add what they have read.
	Table Source = "table"
)

// Entry is one entry that was left out.
type Entry struct {
	// Source and Where name it.
	Source Source `json:"source"`
	Where  string `json:"where"`
	// Detail says what cannot be understood.
	Detail string `json:"detail"`
	// Since is when it was first met as it is.
	Since time.Time `json:"since"`
}

// List is the entries that are left out now; it is safe for concurrent use.
type List struct {
	log *zerolog.Logger

	mu      sync.Mutex
	entries map[key]Entry
}

type key struct {
	source Source
	where  string
}

// New returns an empty list that logs each entry once.
func New(log *zerolog.Logger) *List { return &List{log: log, entries: make(map[key]Entry)} }

// Note takes an entry that was left out, and logs it unless it was left out for the same reason before.
func (l *List) Note(source Source, where, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{source: source, where: where}
	if l.entries[k].Detail == detail {
		return
	}
	if len(l.entries) >= mostEntries {
		clear(l.entries)
	}
	l.entries[k] = Entry{Source: source, Where: where, Detail: detail, Since: time.Now()}
	events.EntrySkipped.Log(l.log).Str("source", string(source)).Str("where", where).Str("detail", detail).Send()
}

// Understood forgets an entry that can be read now.
func (l *List) Decoded(source Source, where string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, key{source: source, where: where})
}

// Replace takes all that is left out of a source now, by where it stands, in place of what was before.
func (l *List) Replace(source Source, now map[string]string) {
	l.mu.Lock()
	for k := range l.entries {
		if _, still := now[k.where]; k.source == source && !still {
			delete(l.entries, k)
		}
	}
	l.mu.Unlock()
	for where, detail := range now {
		l.Note(source, where, detail)
	}
}

// Entries returns what is left out now, by source and place.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Where, b.Where)) })
	return out
}
