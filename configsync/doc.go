// Package configsync keeps the configuration in force on a node. A few nodes of each hall, found by rendezvous hashing
// over the hosts, wait at the platform for changes of the product's own table and of the platform's configuration; the
// others get them from these, and any node that is behind a peer pulls. One goroutine owns the state; it publishes
// immutable snapshots.
package configsync
