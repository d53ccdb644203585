package egress

import (
	"slices"
	"sync"

	"github.com/lynxplank/lynxplank/events"
)

const (
	// maxUnreadFields bounds the names of unread fields that are kept, and logged, for one endpoint.
	maxUnreadFields = 16
	// maxFieldName bounds the length, in bytes, of a field's name in the log.
	maxFieldName = 64
)

// unreadFields are the names of the fields of an endpoint's answers that no code reads.
type unreadFields struct {
	mu    sync.Mutex
	names []string
}

// add returns those of the names that are new.
func (u *unreadFields) add(names []string) (added []string) {
	if len(names) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		name = name[:min(len(name), maxFieldName)]
		if len(u.names) < maxUnreadFields && !slices.Contains(u.names, name) {
			u.names = append(u.names, name)
			added = append(added, name)
		}
	}
	return added
}

func (u *unreadFields) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.names) > 0
}

// noteUnreadFields logs each name of an unread field once an endpoint. An endpoint may state something there that the
// fleet ought to act on.
func (e *Egress) noteUnreadFields(l *localEndpoint, names []string) {
	if added := l.unread.add(names); len(added) > 0 {
		events.FieldsUnread.Log(e.log).Str("endpoint", l.key).Strs("fields", added).Send()
	}
}
