package skipped

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
)

// maxEntries bounds the entries in a list, because another writer may fill a table with entries that no node can
// decode.
const maxEntries = 1000

// Source is where entries come from.
type Source string

// The sources of entries.
const (
	// Configuration is the configuration that the platform's operators maintain.
	Configuration Source = "configuration"
	// Halls is the evacuations of halls that the platform's operators have ordered.
	Halls Source = "halls"
	// Records is the product's table as stored: operators' rows, announcements of hosts, crashes of endpoints.
	Records Source = "records"
	// Table is the active table, which also gets rows that peers have read.
	Table Source = "table"
)

// Entry is one entry that was skipped.
type Entry struct {
	// Source says where the entry comes from, Where which of that source's entries it is.
	Source Source `json:"source"`
	Where  string `json:"where"`
	// Detail says why the entry cannot be decoded.
	Detail string `json:"detail"`
	// Since is when the entry was first skipped with this Detail.
	Since time.Time `json:"since"`
}

// List holds the entries that are skipped now. It is safe for concurrent use.
type List struct {
	log *zerolog.Logger

	mu      sync.Mutex
	entries map[key]Entry
}

type key struct {
	source Source
	where  string
}

// New returns an empty list. It logs each entry once, and again when the entry is skipped for another reason.
func New(log *zerolog.Logger) *List { return &List{log: log, entries: make(map[key]Entry)} }

// Note records that an entry was skipped, and logs it unless the list has it with the same detail.
func (l *List) Note(source Source, where, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{source: source, where: where}
	if l.entries[k].Detail == detail {
		return
	}
	if len(l.entries) >= maxEntries {
		clear(l.entries)
	}
	l.entries[k] = Entry{Source: source, Where: where, Detail: detail, Since: time.Now()}
	events.EntrySkipped.Log(l.log).Str("source", string(source)).Str("where", where).Str("detail", detail).Send()
}

// Decoded removes an entry that could be decoded now.
func (l *List) Decoded(source Source, where string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, key{source: source, where: where})
}

// Replace replaces a source's entries by those that are skipped now. The keys of details are the entries' Where.
func (l *List) Replace(source Source, details map[string]string) {
	l.mu.Lock()
	for k := range l.entries {
		if _, ok := details[k.where]; k.source == source && !ok {
			delete(l.entries, k)
		}
	}
	l.mu.Unlock()
	for where, detail := range details {
		l.Note(source, where, detail)
	}
}

// Entries returns the entries that are skipped now, sorted by source and where.
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
