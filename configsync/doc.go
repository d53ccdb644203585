// Package configsync keeps the configuration active on a node up to date. In each hall a few nodes, the readers, are
// selected by rendezvous hashing over the hosts. They long-poll the platform for changes of the product's table and of
// the configuration written by the platform's operators. The other nodes receive the changes from the readers, and any
// node that is behind a peer pulls from it. One goroutine owns the state and publishes it as immutable snapshots.
package configsync
