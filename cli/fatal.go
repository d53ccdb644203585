package cli

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

func fatalCommands() []command {
	return []command{{
		name: "fatal", args: "[lift CONTENT]", run: runFatal,
		help: "show the requests under which endpoints ended, or let one that is kept from all run again",
	}}
}

// fatalReport is one request under which endpoints ended.
type fatalReport struct {
	// Content names what it asks for, as logs do.
	Content string `json:"content" yaml:"content"`
	// Service is the service whose endpoints ended, Ends are these.
	Service string   `json:"service" yaml:"service"`
	Ends    []string `json:"ends" yaml:"ends"`
	// At is when the last of them did.
	At time.Time `json:"at" yaml:"at"`
	// Barred is set while it is kept from all endpoints.
	Barred bool `json:"barred" yaml:"barred"`
}

func runFatal(a *app, f *flag.FlagSet) error {
	switch {
	case f.NArg() == 0:
		return a.listFatal()
	case f.NArg() == 2 && f.Arg(0) == "lift":
		return a.liftFatal(f.Arg(1))
	}
	return wrongArgs(f)
}

func (a *app) listFatal() error {
	var reports []fatalReport
	var lines [][]string
	after := ""
	for more := true; more; {
		page, err := a.table.Scan(a.ctx, poison.KeyPrefix, after, platform.MostRows)
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			r, err := readFatal(rec)
			if err != nil {
				return err
			}
			reports = append(reports, r)
			lines = append(lines, []string{
				r.Content, r.Service, strings.Join(r.Ends, ","), r.At.UTC().Format(time.RFC3339), yesNo(r.Barred),
			})
			after = rec.Key
		}
		more = page.More
	}
	return a.printReport(reports, []string{"CONTENT", "SERVICE", "ENDED", "LAST", "BARRED"}, lines)
}

func yesNo(b bool) string {
	text, _ := table.YesNo(b).MarshalText()
	return string(text)
}

func readFatal(rec platform.Record) (fatalReport, error) {
	value, err := poison.Decode(rec)
	return fatalReport{
		Content: strings.TrimPrefix(rec.Key, poison.KeyPrefix), Service: value.Service, Ends: value.Ends.List(),
		At: value.At.Time(), Barred: poison.Blocked(value),
	}, err
}

// liftFatal takes a request's row out, provided that it is still the one just read; the nodes then count its ends anew.
func (a *app) liftFatal(text string) error {
	c, ok := poison.ParseFingerprint(text)
	if !ok {
		return fault.New(fault.BadUsage, text, "want a content of 22 letters, as the list shows it")
	}
	key := poison.KeyOf(c)
	recs, err := a.table.Get(a.ctx, key)
	if err != nil {
		return err
	}
	if recs[0].Version == 0 {
		return fault.New(fault.UnknownName, text, "no endpoint ended under this content")
	}
	reply, err := a.table.Commit(a.ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: recs[0].Version}}, Writes: []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		return fault.Wrap(err, fault.OutcomeUnknown, text, "it may or may not be lifted; list again")
	}
	if !reply.Committed {
		return fault.New(fault.Conflict, text, "another endpoint ended under it meanwhile; list again")
	}
	fmt.Fprintln(a.out, "lifted")
	return nil
}
