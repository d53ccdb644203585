// Package quota enforces the rate limits of customers over the whole fleet without agreement between nodes. Each limit
// is split between a few owners, which grant short-lived allotments to the nodes that receive the customer's requests.
// The package has no clock, socket, goroutine or randomness of its own; docs/design/0012-keys-and-limits.md has the
// proof of its bound.
package quota
