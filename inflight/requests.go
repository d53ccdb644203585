package inflight

import "sync"

// Work is what endpoints beside a node have under way, as far as it matters to a call that they may have made.
type Snapshot struct {
	// All counts the work under way.
	Total int
	// Known is set when some of it is for the request that was asked for; the rest tells of that work alone then.
	ForRequest bool
	// OfRepeat is the share of the work that are further sends.
	RetryShare float64
}

// sends counts first and further sends under way.
type sends struct{ first, further int }

// with returns the counts with so many more sends of a kind.
func (s sends) with(repeat bool, n int) sends {
	if repeat {
		s.further += n
	} else {
		s.first += n
	}
	return s
}

func (s sends) all() int { return s.first + s.further }

// ofRepeat is the share of further sends.
func (s sends) ofRepeat() float64 { return float64(s.further) / float64(max(s.all(), 1)) }

// Requests counts the work under way, in all and by request; it is safe for concurrent use.
type Requests struct {
	mu        sync.Mutex
	total     sends
	byRequest map[string]sends
}

// Begin notes a send for a request that is handed over.
func (w *Requests) Begin(request string, repeat bool) { w.add(request, repeat, 1) }

// End notes that a send has ended.
func (w *Requests) End(request string, repeat bool) { w.add(request, repeat, -1) }

func (w *Requests) add(request string, repeat bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total = w.total.with(repeat, n)
	left := w.byRequest[request].with(repeat, n)
	if left.all() == 0 {
		delete(w.byRequest, request)
		return
	}
	if w.byRequest == nil {
		w.byRequest = make(map[string]sends)
	}
	w.byRequest[request] = left
}

// Of tells of the work under way, and of that for a request.
func (w *Requests) Snapshot(request string) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	if own, ok := w.byRequest[request]; ok && request != "" {
		return Snapshot{Total: w.total.all(), ForRequest: true, RetryShare: own.ofRepeat()}
	}
	return Snapshot{Total: w.total.all(), RetryShare: w.total.ofRepeat()}
}
