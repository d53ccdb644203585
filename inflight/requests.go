package inflight

import "sync"

// Snapshot describes the in-flight requests of the endpoints beside a node. An ingress uses it to tell whether a call
// that one of these endpoints makes belongs to a retry.
type Snapshot struct {
	// Total is the number of all in-flight requests.
	Total int
	// ForRequest is set when some of them carry the request ID that was asked for; RetryShare then covers only those.
	ForRequest bool
	// RetryShare is the share of retries among them.
	RetryShare float64
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

// Requests counts in-flight requests, in total and by request ID; it is safe for concurrent use.
type Requests struct {
	mu        sync.Mutex
	total     sends
	byRequest map[string]sends
}

// Begin counts a request that is dispatched to an endpoint; retry is true unless it is the first attempt.
func (r *Requests) Begin(request string, retry bool) { r.add(request, retry, 1) }

// End counts a request that has ended.
func (r *Requests) End(request string, retry bool) { r.add(request, retry, -1) }

func (r *Requests) add(request string, retry bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = r.total.plus(retry, n)
	left := r.byRequest[request].plus(retry, n)
	if left.total() == 0 {
		delete(r.byRequest, request)
		return
	}
	if r.byRequest == nil {
		r.byRequest = make(map[string]sends)
	}
	r.byRequest[request] = left
}

// Snapshot returns the in-flight requests, and those with a request ID if there are any.
func (r *Requests) Snapshot(request string) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if same, ok := r.byRequest[request]; ok && request != "" {
		return Snapshot{Total: r.total.total(), ForRequest: true, RetryShare: same.retryShare()}
	}
	return Snapshot{Total: r.total.total(), RetryShare: r.total.retryShare()}
}
