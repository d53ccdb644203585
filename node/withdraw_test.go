package node

import (
	"net"
	"testing"
)

// TestDrainingEndpointIsNotWithdrawn guards against a planned stop that deletes the announcement of a draining endpoint which
// still runs: the node's next process would believe a late heartbeat.
func TestDrainingEndpointIsNotWithdrawn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := mayListen(l.Addr().String()), true; got != want {
		t.Errorf("endpoint runs: got %v, want %v", got, want)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got, want := mayListen(l.Addr().String()), false; got != want {
		t.Errorf("endpoint has ended: got %v, want %v", got, want)
	}
}
