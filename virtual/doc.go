// Package virtual simulates services in virtual time. Stream passes seeded requests of one service through the decision
// packages and measures detection time, false ejections and what callers get, in comparison with commonly used rules.
// Overload passes those of two services through several ingress nodes and measures what is served when demand exceeds
// capacity. Neither simulates a cluster: there are no connections, and no control plane.
package virtual
