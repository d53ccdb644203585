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
// Invariant: once a fingerprint is cleared or its row removed, no report of one of the same crashes counts again.
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
	row, report := v.rows[f].Value, v.reports[f].PoisonRequest
	if ids := row.Ends.List(); slices.ContainsFunc(ids, func(id string) bool { return v.cleared[crash{f, id}] }) {
		row.Ends = table.NamesOf(slices.DeleteFunc(ids, func(id string) bool { return v.cleared[crash{f, id}] }))
	}
	if report.Ends == "" {
		return row
	}
	return poison.WithCrashes(row, report.Service, report.Ends.List(), report.At.Time())
}

// setRows replaces the active rows. It clears the crashes of rows that are gone and drops the reports that rows now
// cover.
func (v *view) setRows(rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]) {
	for f, row := range v.rows {
		if _, ok := rows[f]; !ok {
			v.markCleared(f, row.Value)
		}
	}
	v.rows = rows
	maps.DeleteFunc(v.reports, func(f poison.Fingerprint, r reported) bool { return covers(rows[f].Value, r) })
}

// covers reports whether a row lists all crashes that were reported.
func covers(row table.PoisonRequest, r reported) bool {
	ids := row.Ends.List()
	return !slices.ContainsFunc(r.Ends.List(), func(id string) bool { return !slices.Contains(ids, id) })
}

// markCleared clears a fingerprint of the crashes in row and of all reported ones, so that late reports of them change
// nothing. It returns whether any of them was not cleared before.
func (v *view) markCleared(f poison.Fingerprint, row table.PoisonRequest) (isNew bool) {
	for _, id := range slices.Concat(row.Ends.List(), v.reports[f].Ends.List()) {
		cr := crash{f, id}
		if !v.cleared[cr] {
			isNew = true
			v.cleared[cr] = true
			v.clearedOrder = append(v.clearedOrder, cr)
		}
	}
	delete(v.reports, f)
	if over := len(v.clearedOrder) - maxReported; over > 0 {
		for _, cr := range v.clearedOrder[:over] {
			delete(v.cleared, cr)
		}
		v.clearedOrder = slices.Clone(v.clearedOrder[over:])
	}
	return isNew
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
