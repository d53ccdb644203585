package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// HostPrefix is the prefix of the keys under which nodes announce themselves in the product's table.
	HostPrefix = "host/"
	// gatherDelay is how long a reader waits for more changes of hosts before it reads again: in a fleet that starts,
	// each node writes a row within about a second.
	gatherDelay = 200 * time.Millisecond
	// maxGatherDelay bounds that delay, which grows by gatherDelay for every recordsPerGatherDelay records of a read.
	// While a fleet of hundreds of nodes starts or is restarted node by node, each reader so reads less often instead of
	// five times a second, and a new endpoint is still known within a second. Until a change arrives, the node of an
	// endpoint that drains or stops refuses requests for it.
	maxGatherDelay        = 4 * gatherDelay
	recordsPerGatherDelay = 4
	// pauseJitter is the range by which a pause varies, as a fraction of the pause, half of it in either direction, so
	// that readers do not poll at the same moment.
	pauseJitter = 0.4
)

// pause waits for d, with jitter, before the next read of the platform; false if ctx ends first.
func (f *Follower) pause(ctx context.Context, d time.Duration) bool {
	return f.pauseUntil(ctx, d, nil)
}

// pauseUntil is pause that ends early when wake is closed.
func (f *Follower) pauseUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	jitter := 1 + pauseJitter*(rand.Float64()-0.5) //nolint:gosec // spreads the readers, no secret
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	case <-time.After(time.Duration(float64(d) * jitter)):
		return true
	}
}

// productReader reads the product's table: the operators' rows, the announcements of the nodes and the poison requests.
// One goroutine owns it.
type productReader struct {
	f    *Follower
	rows *changes.Reader
	// state holds the operators' rows only; hosts holds the announcements by the names of their hosts.
	state          *table.State
	hosts          map[string]table.HostInfo
	poisonRequests *rowSource
	// cursor is the store version up to which the table was read; loaded is false until the whole table was read.
	cursor uint64
	loaded bool
	// previous holds the hosts as of before the whole table is read again, for announcements that can no longer be
	// decoded.
	previous map[string]table.HostInfo
	// revision is the newest version of an announcement or of a removal.
	revision uint64
	// removed are the hosts removed since base, the store version of the last read of the whole table or of the newest
	// removal that was dropped since.
	removed []removedHost
	base    uint64
	// backoff spaces the reads while the platform fails, turns orders those of the hall's readers.
	backoff retry.Backoff
	turns   readerTurns
}

// readProduct keeps reading the product's table until the node stops.
func (f *Follower) readProduct(ctx context.Context) {
	r := &productReader{
		f: f, rows: changes.NewReader(f.platform, changes.WithSkipHandler(f.noteSkipped)), state: table.NewState(), poisonRequests: newRowSource(table.SourcePoison),
		backoff: retry.Backoff{Initial: f.cfg.RetryInterval, Max: f.cfg.MaxRetryInterval}, turns: f.newTurns(platform.TableOwn, f.cfg.Readers),
	}
	for {
		wait, silence := f.cfg.RetryInterval, f.silence.next()
		if f.reading.Load() || f.readsAfterSilence() {
			m, delay := r.poll(ctx)
			f.deliver(m)
			wait = delay
		} else {
			r.turns.announce(false)
		}
		if !f.pauseUntil(ctx, wait, silence) {
			return
		}
	}
}

// gatherDelayFor returns how long a reader waits after a read that returned this number of changed records.
func gatherDelayFor(records int) time.Duration {
	if records == 0 {
		return 0
	}
	return min(gatherDelay*time.Duration(1+records/recordsPerGatherDelay), maxGatherDelay)
}

// poll reads once and returns the result and the delay until the next read.
func (r *productReader) poll(ctx context.Context) (productRead, time.Duration) {
	start := time.Now()
	records, err := r.advance(ctx)
	if err != nil {
		if fault.CodeOf(err) == fault.Gone {
			r.loaded = false
		}
		return productRead{err: err, took: time.Since(start)}, r.backoff.Next()
	}
	r.backoff.Reset()
	m := productRead{unchanged: records == 0, state: r.state, poisonRequests: r.poisonRequests.state, at: r.cursor, hosts: hostList{
		hosts: sortedByID(slices.Collect(maps.Values(r.hosts))), revision: r.revision, base: r.base, removed: slices.Clone(r.removed),
	}.trimmed()}
	// Keep the removals of the trimmed list, so that the reader drops the same ones and holds each only once.
	r.removed, r.base = slices.Clone(m.hosts.removed), m.hosts.base
	return m, gatherDelayFor(records)
}

// advance waits for the changes since the last read and applies them, or reads the whole table; it returns the number
// of records read.
func (r *productReader) advance(ctx context.Context) (records int, err error) {
	recs, err := r.turns.records(ctx, platform.TableOwn, r.loaded, r.cursor)
	if err != nil {
		return 0, err
	}
	if !r.loaded {
		// A read of the whole table shows a removal only by the absence of the host.
		r.previous, r.hosts = r.hosts, make(map[string]table.HostInfo)
		r.base, r.removed = recs.Version, nil
	}
	rowsChanged := false
	var poisonRequests []platform.Record
	for _, rec := range recs.Records {
		switch {
		case strings.HasPrefix(rec.Key, HostPrefix):
			r.applyHostRecord(rec)
		case strings.HasPrefix(rec.Key, poison.KeyPrefix):
			poisonRequests = append(poisonRequests, rec)
		default:
			rowsChanged = true
		}
	}
	if err := r.applyPoisonRecords(poisonRequests, recs.Version); err != nil {
		return 0, err
	}
	if rowsChanged {
		if r.state, err = r.rows.Advance(ctx, r.state); err != nil {
			return 0, err
		}
	}
	r.previous = nil
	r.loaded = true
	r.cursor = recs.Version
	return len(recs.Records), nil
}

// applyHostRecord applies an announcement or its removal. An announcement that cannot be decoded is skipped: the
// previous one of its host, if any, and those of all other hosts stay.
func (r *productReader) applyHostRecord(rec platform.Record) {
	r.revision = max(r.revision, rec.Version)
	id := strings.TrimPrefix(rec.Key, HostPrefix)
	if rec.Deleted {
		delete(r.hosts, id)
		r.removed = append(r.removed, removedHost{id: id, version: rec.Version})
		return
	}
	h, invalid, err := decodeAnnouncement(id, rec.Value)
	for _, e := range invalid {
		r.f.noteSkipped(rec.Key+" "+e.Where, e)
	}
	if err != nil {
		r.f.noteSkipped(rec.Key, err)
		if old, ok := r.previous[id]; ok {
			r.hosts[id] = old
		}
		return
	}
	r.f.skippedList.Decoded(skipped.Records, rec.Key)
	h.Version = rec.Version
	r.hosts[id] = h
}

// decodeAnnouncement decodes an announcement; BadRow if no node can have written it. Endpoints that cannot be decoded
// are skipped; invalid holds an error for each of them.
func decodeAnnouncement(id string, text []byte) (h table.HostInfo, invalid fault.ListError, err error) {
	var announcement struct {
		table.HostInfo
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &announcement); err != nil {
		return h, nil, fault.Wrap(err, fault.BadRow, HostPrefix+id, "cannot decode announcement")
	}
	h = announcement.HostInfo
	for i, text := range announcement.Endpoints {
		a, err := decodeEndpoint(text)
		if err != nil {
			invalid = append(invalid, fault.New(fault.BadRow, fmt.Sprintf("endpoints[%d] %s", i, a.Key), err.Error()))
			continue
		}
		h.Endpoints = append(h.Endpoints, a)
	}
	return h, invalid, checkAnnouncement(id, h)
}

// checkAnnouncement refuses an announcement without the name of its host, its hall or a valid address.
func checkAnnouncement(id string, h table.HostInfo) error {
	if h.ID == "" || h.ID != id || h.Hall == "" {
		return fault.New(fault.BadRow, HostPrefix+id, "want the host's name and hall")
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fault.New(fault.BadRow, HostPrefix+id+" address", "want an IP and port")
	}
	return nil
}

// decodeEndpoint decodes an endpoint of an announcement; BadRow if it is not usable.
func decodeEndpoint(text []byte) (table.Announced, error) {
	var a table.Announced
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fault.Wrap(err, fault.BadRow, "endpoint", "cannot decode endpoint")
	}
	_, err := table.NewRow(table.KindEndpoint, a.Key, table.Encode(table.KindEndpoint, a.Key, table.Meta{}, a.Value).Cells)
	return a, err
}

// noteSkipped records a record that cannot be decoded.
func (f *Follower) noteSkipped(key string, err error) {
	f.skippedList.Note(skipped.Records, key, err.Error())
}
