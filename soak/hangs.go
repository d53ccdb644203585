package soak

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// hangSettings have requests give up the slots of endpoints that hang to requests that need them.
	hangSettings = "overload: {nested_first: true, reclaim_slots: true, early_refusal: true}\n"
	// hangsSeed keeps the draws of hanging endpoints apart from those of other actions.
	hangsSeed = 1 << 44
	// shortestHang and longestHang bound how long an endpoint hangs by spells.
	shortestHang, longestHang = 2 * time.Second, 6 * time.Second
)

// PlanHangs draws n times in which endpoints hang by spells: what arrives in one takes longer than its caller waits.
func PlanHangs(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, hangsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.For = Endpoint, shortestHang+time.Duration(r.Int64N(int64(longestHang-shortestHang)))
		a.Behaviour = backend.Behaviour{WorkMillis: normalWork, SlowFactor: 2 * slowest, FlapMillis: 300 + r.IntN(900)}
		plan = append(plan, a)
	}
	return plan
}

// capacityCodes end requests for which no endpoint had a slot.
var capacityCodes = []fault.Code{
	fault.Busy, fault.Overloaded, fault.DeadlineTooShort, fault.Suspect, fault.NoEndpoint, fault.RetryBudget, fault.EndpointHung,
}

// logLine are the fields of a line of a node's log that the verdict reads.
type logLine struct {
	Event       int        `json:"event"`
	Request     string     `json:"request"`
	Code        fault.Code `json:"code"`
	YieldedAgo  *float64   `json:"slot_yielded_ago"`
	IsStopping  bool       `json:"stopping"`
	AfterMillis float64    `json:"after"`
}

// judgeHangs looks for requests that a running node ended for want of a slot after it had given up one of theirs.
func (r *run) judgeHangs() error {
	if r.cfg.Hangs == 0 {
		return nil
	}
	for _, m := range r.fleet.Members {
		if err := r.judgeYields(r.fleet.LogFile(m)); err != nil {
			return err
		}
	}
	return nil
}

// judgeYields looks for such requests in the log of one node.
func (r *run) judgeYields(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, name, "log cannot be read")
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l logLine
		// Lines of the runtime are not JSON.
		if json.Unmarshal(lines.Bytes(), &l) != nil || l.YieldedAgo == nil {
			continue
		}
		r.report.Yielded++
		if l.Event == events.RequestFailed.Number && !l.IsStopping && slices.Contains(capacityCodes, l.Code) {
			r.breaks("slot: request %s was ended as %s after %.0f ms, %.0f ms after it had given up a slot", l.Request, l.Code, l.AfterMillis, *l.YieldedAgo)
		}
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(err, fault.Unavailable, name, "log cannot be read to its end")
	}
	return nil
}
