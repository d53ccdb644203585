package ingress

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lynxplank/lynxplank/table"
)

const (
	mostLimiters = 10000
	limitWait    = time.Second
	burstTime    = 1
)

// limiters hold one token bucket for each customer with a limit that this node has met of late.
type limiters struct {
	mu    sync.Mutex
	byKey map[string]*rate.Limiter
}

func newLimiters() *limiters { return &limiters{byKey: make(map[string]*rate.Limiter)} }

// take grants one request of a customer, else returns when the next one can be granted.
func (l *limiters) take(s *table.State, customer string) (time.Duration, bool) {
	row, ok := s.Customer(customer)
	if !ok || row.Value.Limit == 0 {
		return 0, true
	}
	limiter := l.limiter(customer, float64(row.Value.Limit))
	r := limiter.Reserve()
	wait := r.Delay()
	if r.OK() && wait == 0 {
		return 0, true
	}
	r.Cancel()
	return min(max(wait, time.Millisecond), limitWait), false
}

func (l *limiters) limiter(customer string, limit float64) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byKey[customer]
	if limiter == nil {
		if len(l.byKey) >= mostLimiters {
			clear(l.byKey)
		}
		limiter = rate.NewLimiter(rate.Limit(limit), burst(limit))
		l.byKey[customer] = limiter
	}
	if limiter.Limit() != rate.Limit(limit) {
		limiter.SetLimit(rate.Limit(limit))
		limiter.SetBurst(burst(limit))
	}
	return limiter
}

func burst(limit float64) int { return max(1, int(limit*burstTime)) }
