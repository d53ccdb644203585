// Package breaker is a circuit breaker on the node beside one endpoint. From the results of all callers' requests it
// decides whether the endpoint takes every request, only trial requests that find out whether it has recovered, or no
// request for a short while. It has no clock, no randomness and no goroutine. Ejection by each sender (package eject)
// is slower and compares endpoints; the breaker is for an endpoint whose answers break off for a second at a time.
package breaker
