package director

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// suspectDirector returns a director of a service with three endpoints of four slots in its hall.
func suspectDirector(t *testing.T, suspectRoom bool) *Director {
	t.Helper()
	service, err := table.NewRow(table.KindService, "desk", nil)
	if err != nil {
		t.Fatal(err)
	}
	rows := []table.Row{service}
	for i := 1; i <= 3; i++ {
		row, err := table.NewRow(table.KindEndpoint, fmt.Sprintf("e%d", i), []string{"desk", fmt.Sprintf("h%d", i), "hall-1", "127.0.0.1:1", "4"})
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	d := New(Config{Hall: "hall-1", SuspectRoom: suspectRoom}, &log, func() *table.State { return s },
		func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

// TestSuspects runs the scenarios of testdata/suspects: what a node knows of its suspects by their reports and which it
// chooses. They guard against offers in vain and against the use of impossible reports. Commands:
//
//	new [off]                                    creates a director, with the setting off
//	report e1 [closed] [chance=0.5] [room=2] [busy=4] [ms=100]   receives a load report, with the service time
//	age e1 by=150ms                              makes the endpoint's report older
//	suspect repeatable|unrepeatable left=200ms [declined=e1]     chooses a suspect with room
//	last repeatable|unrepeatable                 chooses a last resort
//	free                                         chooses an endpoint with a free slot
//	mayfree [declined=e1]                        prints whether a suspect may have a free slot
//	explain                                      prints the suspects
//
// A chosen endpoint keeps the request.
func TestSuspects(t *testing.T) {
	datadriven.Walk(t, "testdata/suspects", func(t *testing.T, path string) {
		d := suspectDirector(t, true)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			opts := PickOptions{Service: "desk", Repeatable: data.HasArg("repeatable")}
			var declined []string
			if data.HasArg("declined") {
				declined = strings.Split(textArg(t, data, "declined"), "+")
			}
			switch data.Cmd {
			case "new":
				d = suspectDirector(t, !data.HasArg("off"))
				return ""
			case "report":
				reportSuspect(t, data, d)
				return ""
			case "age":
				by, err := time.ParseDuration(textArg(t, data, "by"))
				if err != nil {
					data.Fatalf(t, "%v", err)
				}
				old := targetOf(t, d, data.CmdArgs[0].Key).suspect.Load()
				aged := &suspectReport{chance: old.chance, room: old.room, at: old.at.Add(-by)}
				aged.sent.Store(old.sent.Load())
				targetOf(t, d, data.CmdArgs[0].Key).suspect.Store(aged)
				return ""
			case "suspect":
				left, err := time.ParseDuration(textArg(t, data, "left"))
				if err != nil {
					data.Fatalf(t, "%v", err)
				}
				pick, ok := d.PickSuspect(t.Context(), SuspectOptions{PickOptions: opts, Declined: declined, TimeLeft: left})
				if !ok {
					return "none\n"
				}
				return pick.Endpoint.Key + "\n"
			case "last":
				pick, err := d.PickLastResort(t.Context(), opts, opts.Repeatable)
				return pickName(pick, err)
			case "free":
				opts.RequireFreeSlot = true
				pick, err := d.Pick(t.Context(), opts)
				return pickName(pick, err)
			case "mayfree":
				return fmt.Sprintln(d.MayHaveFreeSuspect(t.Context(), opts, declined))
			case "explain":
				return explainSuspects(d)
			}
			data.Fatalf(t, "no such command")
			return ""
		})
	})
}

func textArg(t *testing.T, data *datadriven.TestData, name string) string {
	t.Helper()
	var text string
	data.ScanArgs(t, name, &text)
	return text
}

// pickName returns the key of a picked endpoint or the code of the error.
func pickName(p Pick, err error) string {
	if err != nil {
		return string(fault.CodeOf(err)) + "\n"
	}
	return p.Endpoint.Key + "\n"
}

// targetOf returns the target of an endpoint.
func targetOf(t *testing.T, d *Director, key string) *target {
	t.Helper()
	v, err := d.view(t.Context(), "desk")
	if err != nil {
		t.Fatal(err)
	}
	return v.targetOf(key)
}

// reportSuspect ends a request that was pinned to an endpoint with the load report that a command describes.
func reportSuspect(t *testing.T, data *datadriven.TestData, d *Director) {
	t.Helper()
	pick, err := d.Pick(t.Context(), PickOptions{Service: "desk", Pinned: data.CmdArgs[0].Key})
	if err != nil {
		t.Fatal(err)
	}
	load := &peerpb.Load{Slots: 4, Trial: !data.HasArg("closed")}
	if data.HasArg("chance") {
		chance, err := strconv.ParseFloat(textArg(t, data, "chance"), 64)
		if err != nil {
			t.Fatal(err)
		}
		load.SuccessChance = &chance
	}
	var ms int64
	data.MaybeScanArgs(t, "room", &load.TrialRoom)
	data.MaybeScanArgs(t, "busy", &load.Busy)
	data.MaybeScanArgs(t, "ms", &ms)
	load.ServiceMicros = 1000 * ms
	d.Done(Report{Service: "desk", Pick: pick, Received: ms > 0, Load: load})
}

// explainSuspects returns what the operators learn of the suspects.
func explainSuspects(d *Director) string {
	var out strings.Builder
	for _, e := range d.Explain("desk") {
		switch {
		case !e.Trial:
			continue
		case e.SuccessChance == nil || e.TrialRoom == nil:
			fmt.Fprintf(&out, "%s trials only\n", e.Endpoint)
		default:
			fmt.Fprintf(&out, "%s chance=%.2f room=%d\n", e.Endpoint, *e.SuccessChance, *e.TrialRoom)
		}
	}
	if out.Len() == 0 {
		return "none\n"
	}
	return out.String()
}

// maxReportBytes is the memory of one suspect's report that docs/CAPACITY.md states.
const maxReportBytes = 48

// TestSizes guards against memory for each suspect beyond what is stated.
func TestSizes(t *testing.T) {
	got := unsafe.Sizeof(suspectReport{})
	t.Logf("a report of a suspect takes %d bytes", got)
	if got > maxReportBytes {
		t.Errorf("report: got %d bytes, want at most %d", got, maxReportBytes)
	}
}
