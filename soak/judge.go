package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// settleLimit is how long after all is healed everything must be as before; ejections last 5 minutes at most but these
	// are first ones, of 5 to 20 s.
	settleLimit = 60 * time.Second
	// settleLook is the time between two looks meanwhile.
	settleLook = 100 * time.Millisecond
	// settleSends is how many lookups each node must have served in a row.
	settleSends = 4
)

// settle waits until every node serves again by the same table.
func (r *run) settle() {
	r.must("nodes after the run", r.fleet.WaitReady())
	if !waitFor(r.sameRevision) {
		r.breaks("revision: the nodes do not come to the same one")
	}
	// Nodes that are all behind show the same revision, too; what does not come in force is told by judgeRows.
	waitFor(r.holdsAccepted)
	if !waitFor(r.servesAgain) {
		r.breaks("recovery: lookups are not served %v after everything healed", settleLimit)
	}
}

// waitFor tells whether good comes true within settleLimit.
func waitFor(good func() bool) bool {
	for end := time.Now().Add(settleLimit); time.Now().Before(end); time.Sleep(settleLook) {
		if good() {
			return true
		}
	}
	return false
}

// sameRevision tells whether every node answers and has the same rows in force.
func (r *run) sameRevision() bool {
	first := uint64(0)
	for i, m := range r.fleet.Members {
		s, err := m.Status()
		if err != nil || s.Revision == 0 || i > 0 && s.Revision != first {
			return false
		}
		first = s.Revision
	}
	return true
}

// holdsAccepted tells whether every accepted change is in force at every node.
func (r *run) holdsAccepted() bool {
	broken, err := r.rowsNotInForce()
	return err == nil && len(broken) == 0
}

// servesAgain tells whether each node serves a row of lookups at the first send.
func (r *run) servesAgain() bool {
	for _, m := range r.fleet.Members {
		for _, result := range demo.NewLoad([]string{m.Callers}).Send(demo.Lookup, 0, settleSends) {
			if result.Told != "ran" || result.Status != 200 || result.Sends > 1 {
				return false
			}
		}
	}
	return true
}

// judge holds what callers were told against what endpoints ran, and what operators were told against what is in force.
func (r *run) judge() error {
	for _, m := range r.fleet.Members {
		runs, err := m.Runs()
		if err != nil {
			return err
		}
		r.report.Records = append(r.report.Records, runs)
	}
	r.judgeRequests()
	r.judgeNested()
	r.judgeStops()
	if err := r.judgeFatal(); err != nil {
		return err
	}
	if err := r.judgeLogs(); err != nil {
		return err
	}
	if err := r.judgeHangs(); err != nil {
		return err
	}
	return r.judgeRows()
}

// faultWords are what the runtime writes of a fault of the program; programs built with the race detector tell of races.
var faultWords = []string{"DATA RACE", "panic:", "fatal error:"}

// judgeLogs looks for faults of the program in what the nodes wrote.
func (r *run) judgeLogs() error {
	for _, m := range r.fleet.Members {
		text, err := os.ReadFile(r.fleet.LogFile(m))
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, m.Host, "log cannot be read")
		}
		for _, word := range faultWords {
			if strings.Contains(string(text), word) {
				r.breaks("program: node %s wrote %q", m.Host, word)
			}
		}
	}
	return nil
}

// judgeRequests looks for requests that ran twice, and for callers who were told what is not so.
func (r *run) judgeRequests() {
	for kind, t := range demo.Check(r.report.Results, r.report.Records) {
		if t.Doubled > 0 || t.Cut > 0 || t.FalseNotRun > 0 {
			r.breaks("requests of kind %d: doubled %d, cut %d, falsely told not run %d", kind, t.Doubled, t.Cut, t.FalseNotRun)
		}
	}
	for _, result := range r.report.Results {
		started := begun(result.Call, r.report.Records)
		if result.Kind == demo.Lookup || started == 0 || started == 1 && result.Told != "not-run" {
			continue
		}
		r.breaks("request %s: begun %d times, told %s %s at send %d", result.Call, started, result.Told, result.Code, result.Sends)
	}
}

// begun counts how often endpoints began a request.
func begun(call string, records []map[string]backend.Run) int {
	started := 0
	for _, record := range records {
		started += record[call].Started
	}
	return started
}

// judgeRows looks for accepted changes that are not in force at every node.
func (r *run) judgeRows() error {
	broken, err := r.rowsNotInForce()
	for _, row := range broken {
		r.breaks("change: %s", row)
	}
	for key := range r.weights {
		if !r.unknown[key] {
			r.report.Changes++
		}
	}
	return err
}

// rowsNotInForce describes each accepted change that a node does not hold, once for each such node. Changes whose
// outcome is unknown are skipped.
func (r *run) rowsNotInForce() (broken []string, err error) {
	for key, want := range r.weights {
		if r.unknown[key] {
			continue
		}
		for _, m := range r.fleet.Members {
			row, err := m.Row("endpoint", key)
			if err != nil {
				return broken, err
			}
			if got := row.Cells["weight"]; got != want {
				broken = append(broken, fmt.Sprintf("node %s holds weight %s of %s, accepted was %s", m.Host, got, key, want))
			}
		}
	}
	return broken, nil
}
