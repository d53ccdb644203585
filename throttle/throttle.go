package throttle

import (
	"math"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

const (
	// Window is the time over which results are counted, so that recovery is detected within it.
	Window = 2 * time.Second
	// sliceCount is the number of slices in the window; a result is counted for between 1.8 and 2 s.
	sliceCount = 10
	// sliceDuration is the time that one slice covers.
	sliceDuration = Window / sliceCount
	// acceptedFactor is how many requests are let through for each one that was accepted: up to half more than that, so
	// that a service which has recovered capacity is offered it.
	acceptedFactor = 1.5
	// MaxShare bounds the share of requests that are throttled: at least a quarter of every class is always tried.
	MaxShare = 0.75
	// minRequests is the number of requests in the window below which nothing is throttled.
	minRequests = 10
	// MinRetryDelay is the minimum of the mean delay that throttled requests are told.
	MinRetryDelay = 100 * time.Millisecond
	// defaultRetryDelay is the mean delay while no rejection in the window states one, as for any other 503.
	defaultRetryDelay = time.Second
	// minJitter and maxJitter bound the factor by which the mean delay is multiplied, so that throttled callers do not
	// all retry at once.
	minJitter, maxJitter = 0.75, 1.75
)

// Result is how a request ended, as far as it tells about the capacity of its service.
type Result uint8

const (
	// Inconclusive is a result that says nothing of capacity.
	Inconclusive Result = iota
	// Accepted is a request that the service ran.
	Accepted
	// Rejected is a request that did not run for want of capacity.
	Rejected
	// Lost is a request that ran and failed because one of its nested calls was not served.
	Lost
)

// counts are the results of some time.
type counts struct {
	// accepted, failed (rejected or lost) and inconclusive are the requests that were let through and have ended.
	accepted, failed, inconclusive, throttled uint32
	// delays is the number of rejections that stated a Retry-After, delaySum the sum of those.
	delays   uint32
	delaySum time.Duration
}

func (c counts) plus(o counts) counts {
	return counts{
		accepted: c.accepted + o.accepted, failed: c.failed + o.failed, inconclusive: c.inconclusive + o.inconclusive,
		throttled: c.throttled + o.throttled, delays: c.delays + o.delays, delaySum: c.delaySum + o.delaySum,
	}
}

func (c counts) minus(o counts) counts {
	return counts{
		accepted: c.accepted - o.accepted, failed: c.failed - o.failed, inconclusive: c.inconclusive - o.inconclusive,
		throttled: c.throttled - o.throttled, delays: c.delays - o.delays, delaySum: c.delaySum - o.delaySum,
	}
}

// requests is R of the formula. Of the throttled requests it has the part that would have told of the service's capacity,
// judged by those that were let through: otherwise a customer beyond its limit, whose requests say nothing of capacity
// and are throttled with the others, would keep the share up.
func (c counts) requests() float64 {
	told := float64(c.accepted + c.failed)
	if told == 0 {
		return float64(c.throttled)
	}
	return told + float64(c.throttled)*told/(told+float64(c.inconclusive))
}

// Throttle counts the results of the requests of one service and route within a sliding window. The zero value is
// empty. It does not lock: the caller serializes access. Its times come from a clock that is never set back.
type Throttle struct {
	slices [sliceCount]counts
	// total is the sum of the slices.
	total counts
	// current is the number of the newest slice, counted from 1970.
	current int64
}

// State is what a Throttle has counted within the window.
type State struct {
	// Requests is R of the formula: the requests that were accepted, rejected or lost, and of the throttled ones the part
	// that would have been.
	Requests int `json:"requests"`
	// Accepted is A of the formula: the requests that ran and did not fail because of a nested call.
	Accepted int `json:"accepted"`
	// Throttled is how many requests were throttled.
	Throttled int `json:"throttled"`
	// Share is the probability with which the next request is throttled.
	Share float64 `json:"share"`
}

// advance drops the slices that have left the window. A time before the newest slice belongs to that slice.
func (t *Throttle) advance(now time.Time) *counts {
	number := clock.Nanos(now) / int64(sliceDuration)
	if number-t.current >= sliceCount {
		*t = Throttle{current: number}
	}
	for t.current < number {
		t.current++
		oldest := t.newest()
		t.total = t.total.minus(*oldest)
		*oldest = counts{}
	}
	return t.newest()
}

func (t *Throttle) newest() *counts { return &t.slices[t.current%sliceCount] }

func (t *Throttle) add(now time.Time, c counts) {
	slice := t.advance(now)
	*slice = slice.plus(c)
	t.total = t.total.plus(c)
}

// Record counts a request that ended. retryAfter is the Retry-After of a rejection, 0 for none.
func (t *Throttle) Record(now time.Time, r Result, retryAfter time.Duration) {
	var c counts
	switch r {
	case Accepted:
		c.accepted = 1
	case Rejected:
		c.failed = 1
		if retryAfter > 0 {
			c.delays, c.delaySum = 1, retryAfter
		}
	case Lost:
		c.failed = 1
	case Inconclusive:
		c.inconclusive = 1
	}
	t.add(now, c)
}

// Share returns the probability with which a request is throttled now.
func (t *Throttle) Share(now time.Time) float64 {
	t.advance(now)
	return t.total.share()
}

// share is the throttled share. It is 0 once the window has no rejection or loss left: throttled requests count as not
// accepted, so without this the share would fall by steps over four windows after the service has recovered.
func (c counts) share() float64 {
	r, a := c.requests(), float64(c.accepted)
	if r < minRequests || c.failed == 0 {
		return 0
	}
	return min(max(0, (r-acceptedFactor*a)/(r+1)), MaxShare)
}

// Throttles reports whether a request is to be throttled, given a draw that is uniform in [0, 1). It counts nothing: the
// caller calls RecordThrottled or, when the request has ended, Record.
func (t *Throttle) Throttles(now time.Time, draw float64) bool { return draw < t.Share(now) }

// RecordThrottled counts a throttled request. It returns after how long its caller should retry: the mean Retry-After of
// the rejections in the window with a jitter, given a draw that is uniform in [0, 1).
func (t *Throttle) RecordThrottled(now time.Time, draw float64) time.Duration {
	t.add(now, counts{throttled: 1})
	mean := defaultRetryDelay
	if n := t.total.delays; n > 0 {
		mean = max(t.total.delaySum/time.Duration(n), MinRetryDelay)
	}
	return time.Duration(float64(mean) * (minJitter + (maxJitter-minJitter)*draw))
}

// State returns what was counted within the window.
func (t *Throttle) State(now time.Time) State {
	t.advance(now)
	return State{
		Requests: int(math.Round(t.total.requests())), Accepted: int(t.total.accepted), Throttled: int(t.total.throttled), Share: t.total.share(),
	}
}
