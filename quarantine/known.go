package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// mostHeard bounds the contents that are known by word alone: each comes of an endpoint that ended, of which a fleet of thousands has
// some hundred a day.
const mostHeard = 4096

// heard is what is known of a content by word of this node or of its peers, besides its row.
type heard struct {
	table.PoisonRequest
	// since is when it was first heard of.
	since time.Time
}

// known is what is known of requests under which endpoints ended, from the rows in force and by word; its owner locks it.
//
// Invariant: a word that came once never counts again after its row was taken out: lifted is lifted.
type known struct {
	rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]
	word map[poison.Fingerprint]heard
	// lifted are the ends that were taken out, oldest first in order.
	lifted map[end]bool
	order  []end
}

// end is one end of an endpoint under a content, by its name.
type end struct {
	content poison.Fingerprint
	name    string
}

func newKnown() *known {
	return &known{
		rows: make(map[poison.Fingerprint]table.Entry[table.PoisonRequest]), word: make(map[poison.Fingerprint]heard), lifted: make(map[end]bool),
	}
}

// hear takes the word that an endpoint ended at a time while it ran a content, and tells whether that is news: of a content that is barred
// none is. A row names so many ends and no more; further ones, taken for news, went from hand to hand without end.
func (k *known) hear(now time.Time, c poison.Fingerprint, service, name string, at time.Time) bool {
	if poison.Blocked(k.of(c)) || k.lifted[end{c, name}] || slices.Contains(k.of(c).Ends.List(), name) {
		return false
	}
	if _, ok := k.word[c]; !ok && len(k.word) >= mostHeard {
		k.dropOldest()
	}
	h, ok := k.word[c]
	if !ok {
		h.since = now
	}
	h.PoisonRequest = poison.WithCrashes(h.PoisonRequest, service, []string{name}, at)
	k.word[c] = h
	return true
}

// dropOldest makes room for another word.
func (k *known) dropOldest() {
	var oldest poison.Fingerprint
	first := true
	for c, h := range k.word {
		if first || h.At < k.word[oldest].At {
			oldest, first = c, false
		}
	}
	delete(k.word, oldest)
}

// of returns all that is known of a content; the ends that were lifted do not count, though its row may still be there.
func (k *known) of(c poison.Fingerprint) table.PoisonRequest {
	row, word := k.rows[c].Value, k.word[c].PoisonRequest
	if held := row.Ends.List(); slices.ContainsFunc(held, func(name string) bool { return k.lifted[end{c, name}] }) {
		row.Ends = table.NamesOf(slices.DeleteFunc(held, func(name string) bool { return k.lifted[end{c, name}] }))
	}
	if word.Ends == "" {
		return row
	}
	return poison.WithCrashes(row, word.Service, word.Ends.List(), word.At.Time())
}

// show takes the rows in force.
func (k *known) show(rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]) {
	for c, row := range k.rows {
		if _, ok := rows[c]; !ok {
			k.lift(c, row.Value)
		}
	}
	k.rows = rows
	maps.DeleteFunc(k.word, func(c poison.Fingerprint, h heard) bool { return tells(rows[c].Value, h) })
}

// tells tells whether a row holds all that was heard.
func tells(row table.PoisonRequest, h heard) bool {
	held := row.Ends.List()
	return !slices.ContainsFunc(h.Ends.List(), func(name string) bool { return !slices.Contains(held, name) })
}

// lift forgets a content for good, late words of these ends change nothing, and tells whether that is news.
func (k *known) lift(c poison.Fingerprint, f table.PoisonRequest) (news bool) {
	for _, name := range slices.Concat(f.Ends.List(), k.word[c].Ends.List()) {
		e := end{c, name}
		if !k.lifted[e] {
			news = true
			k.lifted[e] = true
			k.order = append(k.order, e)
		}
	}
	delete(k.word, c)
	if over := len(k.order) - mostHeard; over > 0 {
		for _, e := range k.order[:over] {
			delete(k.lifted, e)
		}
		k.order = slices.Clone(k.order[over:])
	}
	return news
}

// empty tells whether nothing is known of any content.
func (k *known) empty() bool { return len(k.rows) == 0 && len(k.word) == 0 }

// forget drops what no longer counts by word alone.
func (k *known) forget(now time.Time) {
	maps.DeleteFunc(k.word, func(_ poison.Fingerprint, h heard) bool { return poison.Forgotten(h.PoisonRequest, now) })
}

// ends returns how many ends are known of each content.
func (k *known) ends() map[poison.Fingerprint]int {
	out := make(map[poison.Fingerprint]int, len(k.rows)+len(k.word))
	for c := range k.rows {
		out[c] = len(k.of(c).Ends.List())
	}
	for c := range k.word {
		out[c] = len(k.of(c).Ends.List())
	}
	return out
}
