package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// maxReported bounds the fingerprints that are known only from reports, and the cleared crashes that are remembered.
// Each comes from a crash of an endpoint, and a fleet of thousands has some hundred of those a day.
const maxReported = 4096

// reported has the crashes of one fingerprint that this node or its peers have reported and that may not be in its row
// yet.
type reported struct {
	table.PoisonRequest
	// firstReportedAt is when the first of the reports came.
	firstReportedAt time.Time
}

// view is this node's view of the crashes that requests have caused, from the active rows and from reports. It does not
// lock: the caller serializes access.
//
// A view is a pair of sets, the crashes that it has learned of and those that were cleared, and what counts is the
// difference. Both only grow, apart from the bounds on their size and age, so that views which have learned the same
// agree, whatever the order, the number and the paths of the reports.
//
// Invariant: once a crash is cleared or missing from a row that listed it, no report of it counts again.
type view struct {
	// rows are the active rows, reports what has been reported besides.
	rows    map[poison.Fingerprint]table.Entry[table.PoisonRequest]
	reports map[poison.Fingerprint]reported
	// cleared has the crashes that no longer count, clearedOrder the same crashes with the oldest first.
	cleared      map[crash]bool
	clearedOrder []crash
}

// crash is one crash of an endpoint while it ran a request with this fingerprint; id is the result of poison.CrashID.
type crash struct {
	fingerprint poison.Fingerprint
	id          string
}

func newView() *view {
	return &view{
		rows: make(map[poison.Fingerprint]table.Entry[table.PoisonRequest]), reports: make(map[poison.Fingerprint]reported), cleared: make(map[crash]bool),
	}
}

// addReport adds the report that an endpoint crashed at a time while it ran a request, and returns whether the report
// is new. For a blocked fingerprint no report is new: a row lists a limited number of crashes, and nodes that took
// those beyond it for new forwarded their reports without end.
func (v *view) addReport(now time.Time, f poison.Fingerprint, service, id string, at time.Time) bool {
	if poison.Blocked(v.get(f)) || v.cleared[crash{f, id}] || slices.Contains(v.get(f).Ends.List(), id) {
		return false
	}
	if _, ok := v.reports[f]; !ok && len(v.reports) >= maxReported {
		v.dropOldest()
	}
	r, ok := v.reports[f]
	if !ok {
		r.firstReportedAt = now
	}
	r.PoisonRequest = poison.WithCrashes(r.PoisonRequest, service, []string{id}, at)
	v.reports[f] = r
	return true
}

// dropOldest drops the reports of the fingerprint whose latest crash is the oldest.
func (v *view) dropOldest() {
	var oldest poison.Fingerprint
	first := true
	for f, r := range v.reports {
		if first || r.At < v.reports[oldest].At {
			oldest, first = f, false
		}
	}
	delete(v.reports, oldest)
}

// get returns a fingerprint's crashes from its row and from reports, without cleared ones, which the row may still
// list.
func (v *view) get(f poison.Fingerprint) table.PoisonRequest {
	row, report := v.withoutCleared(f, v.rows[f].Value), v.reports[f].PoisonRequest
	if report.Ends == "" {
		return row
	}
	return poison.WithCrashes(row, report.Service, report.Ends.List(), report.At.Time())
}

// withoutCleared returns a fingerprint's row without the crashes that were cleared.
func (v *view) withoutCleared(f poison.Fingerprint, row table.PoisonRequest) table.PoisonRequest {
	if ids := row.Ends.List(); slices.ContainsFunc(ids, func(id string) bool { return v.isCleared(f, id) }) {
		row.Ends = table.NamesOf(slices.DeleteFunc(ids, func(id string) bool { return v.isCleared(f, id) }))
	}
	return row
}

func (v *view) isCleared(f poison.Fingerprint, id string) bool { return v.cleared[crash{f, id}] }

// clearedIn returns which of the crashes in a list were cleared.
func (v *view) clearedIn(f poison.Fingerprint, ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !v.isCleared(f, id) })
}

// setRows replaces the active rows. It clears the crashes that the previous rows list and these do not, and drops the
// reports that rows now cover: those of crashes that they list, and all of a fingerprint that is blocked.
func (v *view) setRows(rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]) {
	for f, row := range v.rows {
		current := rows[f].Value.Ends.List()
		v.clear(f, slices.DeleteFunc(row.Value.Ends.List(), func(id string) bool { return slices.Contains(current, id) }))
	}
	v.rows = rows
	maps.DeleteFunc(v.reports, func(f poison.Fingerprint, r reported) bool {
		return poison.Blocked(v.withoutCleared(f, rows[f].Value)) || covers(rows[f].Value, r)
	})
}

// covers reports whether a row lists all crashes that were reported.
func covers(row table.PoisonRequest, r reported) bool {
	ids := row.Ends.List()
	return !slices.ContainsFunc(r.Ends.List(), func(id string) bool { return !slices.Contains(ids, id) })
}

// clear records that crashes no longer count against a fingerprint, whether or not reports of them have come, and returns
// those that were not cleared before.
func (v *view) clear(f poison.Fingerprint, ids []string) (cleared []string) {
	for _, id := range ids {
		if v.isCleared(f, id) {
			continue
		}
		cleared = append(cleared, id)
		v.cleared[crash{f, id}] = true
		v.clearedOrder = append(v.clearedOrder, crash{f, id})
	}
	if r, ok := v.reports[f]; ok {
		r.PoisonRequest = v.withoutCleared(f, r.PoisonRequest)
		v.reports[f] = r
		if r.Ends == "" {
			delete(v.reports, f)
		}
	}
	if over := len(v.clearedOrder) - maxReported; over > 0 {
		for _, cr := range v.clearedOrder[:over] {
			delete(v.cleared, cr)
		}
		v.clearedOrder = slices.Clone(v.clearedOrder[over:])
	}
	return cleared
}

// isSettled reports whether a fingerprint's row lists the crashes that count, and no others.
func (v *view) isSettled(f poison.Fingerprint) bool {
	return v.get(f).Ends == v.rows[f].Value.Ends
}

// isEmpty reports whether there are no crashes in view.
func (v *view) isEmpty() bool { return len(v.rows) == 0 && len(v.reports) == 0 }

// dropExpired drops the reports that have expired.
func (v *view) dropExpired(now time.Time) {
	maps.DeleteFunc(v.reports, func(_ poison.Fingerprint, r reported) bool { return poison.Expired(r.PoisonRequest, now) })
}

// crashCounts returns the number of crashes of each fingerprint.
func (v *view) crashCounts() map[poison.Fingerprint]int {
	out := make(map[poison.Fingerprint]int, len(v.rows)+len(v.reports))
	for f := range v.rows {
		out[f] = len(v.get(f).Ends.List())
	}
	for f := range v.reports {
		out[f] = len(v.get(f).Ends.List())
	}
	return out
}
