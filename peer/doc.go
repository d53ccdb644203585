// Package peer links the nodes: yamux sessions over TCP or mutual TLS, protobuf frames, heartbeats that find a link
// cut in one direction, and the exchanges of requests and configuration over them.
//
// A node carries its own requests over sessions that it dialed. Each session has one control stream, on which the
// dialer beats and the acceptor echoes what it heard: silence on either way stops the echo.
package peer
