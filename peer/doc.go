// Package peer connects the nodes of the fleet: yamux sessions over TCP or mutual TLS, protobuf frames, heartbeats that
// detect a link which is cut in only one direction, and the exchange of requests and configuration over these links.
//
// A node sends its requests over sessions that it dialed itself. Each session has one control stream, on which the
// dialer sends heartbeats and the acceptor echoes their sequence numbers: a loss in either direction stops the echoes.
package peer
