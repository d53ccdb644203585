package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// dueShare is the share of ordinary work that ends before its answer counts as due: one request in twenty is sent a
	// second time for nothing, a quarter of what a retry budget of 20% grants.
	dueShare = 0.95
	// leastDueShare is the same where a second answer could not come within the aim otherwise.
	leastDueShare = 0.8
	// unknownDue is the part of the aim after which an answer is due while the endpoint's times are not known, as one in so
	// many; a second answer can then still come in time.
	unknownDue = 2
)

// due returns the time within which the answer to a request is due, 0 if nobody asks or it is not known.
//
// A second send has to come early enough for its answer to be in time, and no earlier than that or than most answers come.
func (l *local) due(d *peerpb.Dispatch) time.Duration {
	if !d.GetTellDue() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	work, aim := workOf(d), aimLeft(d)
	model := l.times.For(work.Kind, work.UsualTime)
	if !model.Known() {
		return aim / unknownDue
	}
	usual, soon := model.Quantile(dueShare), model.Quantile(leastDueShare)
	inTime := max(soon, min(usual, aim-soon))
	return max(inTime, min(aim/unknownDue, aim-2*usual))
}

// expectedShare is the share of ordinary work that takes no longer than a request is expected to.
const expectedShare = 0.7

// expected is how long a request's work is expected to take, 0 if that is not known.
func (l *local) expected(d *peerpb.Dispatch) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := workOf(d)
	return l.times.For(work.Kind, work.UsualTime).Quantile(expectedShare)
}
