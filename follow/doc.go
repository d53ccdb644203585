// Package follow keeps the configuration in force on a node. A few nodes of each hall, found by rendezvous hashing
// over the list of hosts, read the platform's log; the others get the changes from them, and any node that is behind
// a peer pulls. One goroutine owns the state; it publishes immutable snapshots.
package follow
