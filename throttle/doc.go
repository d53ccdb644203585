// Package throttle decides which requests a node rejects before it asks any endpoint, because the service rejects most
// requests of their route. It counts in memory what the node's own requests encountered; it has no I/O, goroutine,
// clock or randomness of its own.
package throttle
