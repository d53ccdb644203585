// Package virtual simulates one service in virtual time. It passes seeded streams of requests through the decision
// packages and measures detection time, false ejections and what callers get, in comparison with commonly used rules.
// It does not simulate a cluster: there is one load balancer, one service, and endpoints that are small queues.
package virtual
