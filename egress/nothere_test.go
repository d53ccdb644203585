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

// TestRefusalNamesWhatStandsHere asks a node for an endpoint that it does not know: the refusal names the one of the same service
// that has announced itself, and none that leaves or is of another service.
func TestRefusalNamesWhatStandsHere(t *testing.T) {
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
			r := registry.New("h1", "hall-1", &log, func([]table.Announced) {})
			if err := r.Beat(c.beat); err != nil {
				t.Fatal(err)
			}
			e := at(t, "127.0.0.1:1", table.Active)
			e.announced = r
			end := e.Serve(t.Context(), &peerpb.Dispatch{
				Endpoint: "old", Service: "desk", BudgetMicros: 1e6, Exchange: 1,
			}, strings.NewReader(""), &discard{})
			if got, want := end.GetCode(), string(fault.WrongHost); got != want {
				t.Errorf("code: got %q, want %q", got, want)
			}
			if got := end.GetStands(); got != c.want {
				t.Errorf("endpoint named: got %q, want %q", got, c.want)
			}
		})
	}
}
