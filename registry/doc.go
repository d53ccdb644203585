// Package registry holds the endpoints beside this node that announce themselves by heartbeats. It is the first to know
// that one leaves, and the egress asks it at the moment of each dispatch.
package registry
