// Package registry holds the endpoints beside this node, which announce themselves by heartbeats. It is the first to
// learn that an endpoint is draining; the egress checks it at the moment of each dispatch. What it has acknowledged binds
// later runs of the node too: they recover it from the host's announcement in the store.
package registry
