// Package breaker decides beside one endpoint, from the real work of all callers, whether it takes every request, only
// repeatable ones that find out whether it has recovered, or for a short while none. It has no clock, no randomness and
// no goroutine. Ejection by each chooser (package eject) is slower and compares endpoints; this is for an endpoint that
// breaks off its work for a second at a time.
package breaker
