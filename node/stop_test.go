package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/kernel"
	"github.com/lynxplank/lynxplank/node"
)

// discard is a sink of answers that nobody reads.
type discard struct{}

func (discard) ReportOverdue()                {}
func (discard) Due(time.Duration)             {}
func (discard) Head(*peerpb.Head, bool) error { return nil }
func (discard) Data([]byte, bool) error       { return nil }

// TestEndpointServesThroughTheNotice asks a stopping node's door for its endpoint, once callers are told that the node is going: it
// takes work until the notice is over, and nothing from then on.
func TestEndpointServesThroughTheNotice(t *testing.T) {
	f := start(t, `
service: {desk: {}}
endpoint: {e1: {service: desk, host: h1, hall: hall-1, address: "ENDPOINT", slots: 4}}
route: {all: {service: desk}}
`, "stop: {grace: 30s, margin: 100ms, notice: 4s}\n")
	defer f.stop(t)
	door, err := kernel.Lookup[*egress.Egress](f.node.Kernel(), node.Egress)
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.node.Stop() }()
	for told := false; !told; {
		resp, err := http.Get("http://" + f.callers + "/")
		if err != nil {
			t.Fatal(err)
		}
		told = resp.Close
		_ = resp.Body.Close()
	}
	if got, want := askDoor(door).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("within the notice: got %v, want %v", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
	if got, want := askDoor(door).GetCode(), string(fault.Draining); got != want {
		t.Errorf("after the notice: got %s, want %s", got, want)
	}
}

func askDoor(door *egress.Egress) *peerpb.End {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return door.Serve(ctx, &peerpb.Dispatch{
		RequestId: "r", Endpoint: "e1", Service: "desk", Method: "GET", Target: "/", BudgetMicros: 5e6, Repeatable: true,
	}, io.NopCloser(strings.NewReader("")), discard{})
}
