package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/table"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	beat key=K [born=N] [service=S] [at=IP:PORT] [slots=N] [draining] seq=N
//	leave key=K [born=N] [at=N]    at a time in milliseconds since 1970
//	serving
//	new                    another life of the node
//	restore key=K [draining]
//
// Each prints what the registry announces, if that has changed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		log := zerolog.Nop()
		var announced []string
		r := New("h1", "hall-1", &log, func(list []table.Announced) {
			announced = nil
			for _, a := range list {
				announced = append(announced, fmt.Sprintln("announces", a.Key, a.Value.Service, a.Value.Address, a.Value.Phase))
			}
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			announced = nil
			b := Heartbeat{Service: "desk", Address: "10.0.0.1:80", Slots: 4, Draining: d.HasArg("draining")}
			d.MaybeScanArgs(t, "key", &b.Instance)
			d.MaybeScanArgs(t, "born", &b.Born)
			d.MaybeScanArgs(t, "service", &b.Service)
			d.MaybeScanArgs(t, "slots", &b.Slots)
			d.MaybeScanArgs(t, "seq", &b.Sequence)
			leftAt := int64(0)
			if d.Cmd == "leave" {
				d.MaybeScanArgs(t, "at", &leftAt)
			} else {
				d.MaybeScanArgs(t, "at", &b.Address)
			}
			switch d.Cmd {
			case "beat":
				if err := r.Beat(b); err != nil {
					return err.Error() + "\n"
				}
			case "leave":
				r.Leave(time.UnixMilli(leftAt), b.Instance, b.Born)
			case "new":
				r = New("h1", "hall-1", &log, r.onChange)
			case "restore":
				a := table.Announced{Key: b.Key(), Value: table.Endpoint{Service: b.Service, Address: b.Address}}
				if b.Draining {
					a.Value.Phase = table.Draining
				}
				r.Restore(a, 0)
			case "serving":
				return fmt.Sprintln(r.HasActive())
			default:
				d.Fatalf(t, "no such command")
			}
			return strings.Join(announced, "")
		})
	})
}
