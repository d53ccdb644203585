package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/header"
)

// ChangeLimits has operators change the limits for callers while some of their connections rest.
const ChangeLimits Kind = "change-limits"

const (
	// limitsSeed keeps these draws apart from those of other actions.
	limitsSeed = 1 << 48
	// smallBody and largeBody are the limits that are drawn, in bytes, smallHeader and largeHeader the same for headers.
	smallBody, largeBody     = 4 << 10, 64 << 10
	smallHeader, largeHeader = 8 << 10, 64 << 10
	// inForce is how long after its acceptance a change may not be in force yet.
	inForce = 3 * time.Second
	// restingCallers is how many callers keep connections that rest.
	restingCallers = 12
	// longestRest bounds how long a connection rests.
	longestRest = 6 * time.Second
)

// limits are the limits for callers.
type limits struct{ header, body int }

// acceptedLimits are limits with the time at which the operators began to change to them.
type acceptedLimits struct {
	limits
	at time.Time
}

// PlanLimits draws n changes of the limits.
func PlanLimits(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, limitsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind = ChangeLimits
		a.Limits = limits{[]int{smallHeader, largeHeader}[r.IntN(2)], []int{smallBody, largeBody}[r.IntN(2)]}
		plan = append(plan, a)
	}
	return plan
}

// changeLimits has an operator change the limits; those before count until the change is in force.
func (r *run) changeLimits(a Action) {
	r.platform.Lock()
	defer r.platform.Unlock()
	r.mu.Lock()
	r.limits = append(r.limits, acceptedLimits{a.Limits, time.Now()})
	r.mu.Unlock()
	// One that is refused leaves the earlier limits, which count too until the next change.
	_, err := r.fleet.Ctl("set", "listener", "callers", fmt.Sprint("header_bytes=", a.Limits.header), fmt.Sprint("body_bytes=", a.Limits.body))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.limits = append(r.limits, acceptedLimits{limits{smallHeader, smallBody}, time.Now()})
	}
}

// leastLimits returns the smallest limits that may be in force at a time.
func (r *run) leastLimits(at time.Time) limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := limits{largeHeader, largeBody}
	for i, l := range r.limits {
		if i+1 < len(r.limits) && r.limits[i+1].at.Add(inForce).Before(at) {
			continue
		}
		least = limits{min(least.header, l.header), min(least.body, l.body)}
	}
	return least
}

// callResting sends requests on connections that rest, with sizes that are within all limits that may be in force, until ctx ends.
func (r *run) callResting(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(number))) //nolint:gosec // seeded on purpose
	for ctx.Err() == nil {
		m := r.fleet.Members[random.IntN(len(r.fleet.Members))]
		conn, err := net.DialTimeout("tcp", m.Callers, time.Second)
		if err != nil {
			time.Sleep(ctlPause)
			continue
		}
		in := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil; {
			open = r.sendSized(conn, in, m)
			time.Sleep(time.Duration(random.Int64N(int64(longestRest))))
		}
		_ = conn.Close()
	}
}

// sendSized sends a request of the largest size that is allowed, checks its answer, and reports whether the connection can be used
// again.
func (r *run) sendSized(conn net.Conn, in *bufio.Reader, m *demo.Member) bool {
	least := r.leastLimits(time.Now())
	head := "POST /lookup HTTP/1.1\r\nHost: h\r\n" + header.Repeatable + ": yes\r\n" + header.Deadline + ": 2s\r\n" + fmt.Sprintf("Content-Length: %d\r\nX-A: ", least.body)
	head += strings.Repeat("a", least.header-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, head+strings.Repeat("b", least.body)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	// A change may have begun meanwhile.
	if now := r.leastLimits(time.Now()); least.header > now.header || least.body > now.body {
		return err == nil && !resp.Close
	}
	r.mu.Lock()
	r.report.Sized++
	r.mu.Unlock()
	if resp.StatusCode == http.StatusRequestEntityTooLarge || resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge {
		r.breaks("limits: %s answers %d to a header of %d and a body of %d bytes, within all limits that may be in force", m.Host, resp.StatusCode, least.header, least.body)
	}
	return err == nil && !resp.Close
}
