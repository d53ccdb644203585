package signals

import "time"

const (
	// probeInterval is the time between two probes, resendAfter that after which an unanswered one is sent once more.
	probeInterval, resendAfter = 100 * time.Millisecond, time.Second
	// unsupportedAfter is how long the first probe may take. If none returns, the ticks of the receiver take their place.
	unsupportedAfter = 5 * time.Second
	// overtakeTime is how long a probe may be received before a stop signal that was sent before it: the thread that handles the
	// stop signal may have to wait for a processor while another one handles the probe.
	overtakeTime = 80 * time.Millisecond
)

// path tracks until when the way of signals to this process's receiver is known to be clear. It is immutable.
//
// Invariant: a stop signal sent before clearUntil has been received. A probe is a signal that the process sends to itself: it
// takes the same way, behind each stop signal sent before it, however long that takes in a process with little processor time. It
// counts once another probe, sent overtakeTime after its return, has returned as well.
type path struct {
	clearUntil time.Time
	// candidate is when the latest probe was sent that has returned and does not count yet, candidateAt when it returned.
	candidate, candidateAt time.Time
	// probeSentAt is when the first probe was sent that has not returned, lastSentAt the latest; zero if none is under way.
	probeSentAt, lastSentAt time.Time
	// returned is set once a probe has returned; before, previousTick takes the place of probes that never do.
	returned     bool
	previousTick time.Time
}

// probeDue reports whether a probe is to be sent now.
func (p path) probeDue(now time.Time) bool {
	return p.probeSentAt.IsZero() || now.Sub(p.lastSentAt) >= resendAfter
}

// withProbe returns the path after a probe that is sent no earlier than now.
func (p path) withProbe(now time.Time) path {
	if p.probeSentAt.IsZero() {
		p.probeSentAt = now
	}
	p.lastSentAt = now
	return p
}

// withReturn returns the path after the return of a probe now. Of several under way it may be the first.
func (p path) withReturn(now time.Time) path {
	if p.probeSentAt.IsZero() {
		return p
	}
	switch {
	case p.candidate.IsZero():
		p.candidate, p.candidateAt = p.probeSentAt, now
	case !p.probeSentAt.Before(p.candidateAt.Add(overtakeTime)):
		p.clearUntil = p.candidate
		p.candidate, p.candidateAt = p.probeSentAt, now
	}
	p.probeSentAt, p.returned = time.Time{}, true
	return p
}

// withTick returns the path after a tick of the receiver.
func (p path) withTick(now time.Time) path {
	if !p.returned && !p.probeSentAt.IsZero() && now.Sub(p.probeSentAt) > unsupportedAfter && p.previousTick.After(p.clearUntil) {
		p.clearUntil = p.previousTick
	}
	p.previousTick = now
	return p
}
