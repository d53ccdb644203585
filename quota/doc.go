// Package quota keeps customers to their limits over the whole fleet without an agreement of its nodes. It has no clock, socket,
// goroutine or randomness of its own; docs/design/0012-keys-and-limits.md has the proof of its bound.
package quota
