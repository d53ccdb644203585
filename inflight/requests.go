package inflight

import (
	"sync"
	"time"
)

// Snapshot describes the in-flight requests of the endpoints beside a node. An ingress uses it to tell whether a call
// that one of these endpoints makes belongs to a retry.
type Snapshot struct {
	// Total is the number of all in-flight requests.
	Total int
	// ForRequest is set when some of them carry the request ID that was asked for; RetryShare then covers only those.
	ForRequest bool
	// RetryShare is the share of retries among them.
	RetryShare float64
	// UsefulUntil is when the answer to the request that was asked for loses most of its value, the zero time if that is
	// not known.
	UsefulUntil time.Time
}

// sends counts in-flight requests: first attempts and retries.
type sends struct{ first, retries int }

// plus returns the counts with n more first attempts or retries.
func (s sends) plus(retry bool, n int) sends {
	if retry {
		s.retries += n
	} else {
		s.first += n
	}
	return s
}

func (s sends) total() int { return s.first + s.retries }

// retryShare is the share of retries.
func (s sends) retryShare() float64 { return float64(s.retries) / float64(max(s.total(), 1)) }

// request is what is known of one in-flight request.
type request struct {
	sends sends
	// usefulUntil is when its answer loses most of its value, zero if that is not known.
	usefulUntil time.Time
	// callFailed is set once a call that an endpoint made for the request was not served.
	callFailed bool
}

// Requests counts in-flight requests, in total and by request ID; it is safe for concurrent use.
type Requests struct {
	mu        sync.Mutex
	total     sends
	byRequest map[string]request
}

// Begin counts a request that is dispatched to an endpoint; retry is true unless it is the first attempt. usefulUntil is
// when its answer loses most of its value, the zero time if that is not known.
func (r *Requests) Begin(id string, retry bool, usefulUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(id, retry, 1)
	same := r.byRequest[id]
	same.usefulUntil = usefulUntil
	r.byRequest[id] = same
}

// End counts a request that has ended and reports whether MarkCallFailed was called for it while it was in flight.
func (r *Requests) End(id string, retry bool) (callFailed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(id, retry, -1).callFailed
}

// MarkCallFailed records that a call made for a request was not served; it does nothing unless the request is in flight.
//
// Invariant: only requests in flight hold a mark, so that marks need no bound of their own.
func (r *Requests) MarkCallFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if same, ok := r.byRequest[id]; ok {
		same.callFailed = true
		r.byRequest[id] = same
	}
}

// add changes the counts by n and returns what is known of the request then; the lock must be held.
func (r *Requests) add(id string, retry bool, n int) request {
	r.total = r.total.plus(retry, n)
	same := r.byRequest[id]
	same.sends = same.sends.plus(retry, n)
	if same.sends.total() == 0 {
		delete(r.byRequest, id)
		return same
	}
	if r.byRequest == nil {
		r.byRequest = make(map[string]request)
	}
	r.byRequest[id] = same
	return same
}

// Snapshot returns the in-flight requests, and those with a request ID if there are any.
func (r *Requests) Snapshot(id string) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if same, ok := r.byRequest[id]; ok && id != "" {
		return Snapshot{Total: r.total.total(), ForRequest: true, RetryShare: same.sends.retryShare(), UsefulUntil: same.usefulUntil}
	}
	return Snapshot{Total: r.total.total(), RetryShare: r.total.retryShare()}
}
