package egress

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/table"
)

// TestWrongHostRefusalNamesLocalEndpoint sends a request for an endpoint that the node does not know: the refusal
// names the endpoint of the same service that has announced itself, but none that is draining or of another service.
func TestWrongHostRefusalNamesLocalEndpoint(t *testing.T) {
	for _, c := range []struct {
		name string
		beat registry.Heartbeat
		want string
	}{
		{"started anew", registry.Heartbeat{Instance: "new", Service: "desk", Address: "127.0.0.1:1", Slots: 1, Sequence: 1}, "new"},
		{"leaving", registry.Heartbeat{Instance: "new", Service: "desk", Address: "127.0.0.1:1", Slots: 1, Sequence: 1, Draining: true}, ""},
		{"of another service", registry.Heartbeat{Instance: "new", Service: "hub", Address: "127.0.0.1:1", Slots: 1, Sequence: 1}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := zerolog.Nop()
			r := registry.New("h1", "hall-1", &log, func([]table.Announced, table.PastIncarnations) {})
			if err := r.Beat(c.beat); err != nil {
				t.Fatal(err)
			}
			e := newTestEgress(t, "127.0.0.1:1", table.Active)
			e.announced = r
			end := e.Serve(t.Context(), &peerpb.Dispatch{
				Endpoint: "old", Service: "desk", BudgetMicros: 1e6, Exchange: 1,
			}, strings.NewReader(""), &discardSink{})
			if got, want := end.GetCode(), string(fault.WrongHost); got != want {
				t.Errorf("code: got %q, want %q", got, want)
			}
			if got := end.GetStands(); got != c.want {
				t.Errorf("endpoint named: got %q, want %q", got, c.want)
			}
		})
	}
}
