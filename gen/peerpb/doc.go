// Package peerpb holds the wire types between nodes, generated from idl/peer.proto.
package peerpb
