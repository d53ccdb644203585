// Package virtual feeds the decision packages seeded streams of one service's requests in virtual time and measures
// detection time, false ejections and what callers get, beside the rules that are commonly run. It is no cluster
// simulator: one chooser, one service, endpoints as small queues.
package virtual
