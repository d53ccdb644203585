package registry

import (
	"context"
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
//	leave key=K [born=N] [at=N]    the endpoint reports leaving, at a time in milliseconds since 1970
//	serving
//	new [unrecovered]      restarts the node with an empty registry; unrecovered: earlier runs may have stored an announcement
//	recover [complete] [active=K] [draining=K] [ended=(K,..)] [replaced=(K,..)]
//	                       an announcement of an earlier run is found, complete: in the store
//	wait s=N               time passes
//	confirm key=K          an endpoint whose heartbeat is held confirms that it is running
//	restore key=K [draining]   an endpoint confirms what an earlier run announced
//
// Each prints what the registry announces if that has changed; serving prints whether any endpoint takes new requests.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		log := zerolog.Nop()
		var announced []string
		now := time.UnixMilli(0)
		r := New("h1", "hall-1", &log, func(list []table.Announced, past table.PastIncarnations) {
			announced = nil
			for _, a := range list {
				announced = append(announced, fmt.Sprintln("announces", a.Key, a.Value.Service, a.Value.Address, a.Value.Phase))
			}
			if len(past.Ended) > 0 {
				announced = append(announced, fmt.Sprintln("ended", strings.Join(past.Ended, " ")))
			}
			if len(past.Replaced) > 0 {
				announced = append(announced, fmt.Sprintln("replaced", strings.Join(past.Replaced, " ")))
			}
		}, WithClock(func() time.Time { return now }))
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
			var err error
			switch d.Cmd {
			case "beat":
				err = r.Beat(b)
			case "leave":
				err = r.Leave(time.UnixMilli(leftAt), b.Instance, b.Born)
			case "new":
				r = restarted(r, d.HasArg("unrecovered"))
			case "recover":
				r.Recover(scannedRecord(t, d), d.HasArg("complete"))
			case "wait":
				seconds := 0.0
				d.ScanArgs(t, "s", &seconds)
				now = now.Add(time.Duration(seconds * float64(time.Second)))
			case "confirm":
				r.Confirm(b.Key())
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
			return outcome(err) + strings.Join(announced, "")
		})
	})
}

// outcome returns the line of an error, "" for none.
func outcome(err error) string {
	if err == nil {
		return ""
	}
	return err.Error() + "\n"
}

// restarted returns the registry of a later run of the node; unrecovered: earlier runs may have stored an announcement.
func restarted(r *Registry, unrecovered bool) *Registry {
	opts := []Option{WithClock(r.clock)}
	if unrecovered {
		opts = append(opts, WithStore(func(context.Context) error { return nil }))
	}
	return New(r.host, r.hall, r.log, r.onChange, opts...)
}

// scannedRecord returns the announcement that the arguments of a command describe.
func scannedRecord(t *testing.T, d *datadriven.TestData) (record table.HostInfo) {
	t.Helper()
	for _, phase := range []table.Phase{table.Active, table.Draining} {
		if name := phase.String(); d.HasArg(name) {
			a := table.Announced{Value: table.Endpoint{Service: "desk", Address: "10.0.0.1:80", Phase: phase}}
			d.ScanArgs(t, name, &a.Key)
			record.Endpoints = append(record.Endpoints, a)
		}
	}
	if arg, ok := d.Arg("ended"); ok {
		record.Ended = arg.Vals
	}
	if arg, ok := d.Arg("replaced"); ok {
		record.Replaced = arg.Vals
	}
	return record
}
