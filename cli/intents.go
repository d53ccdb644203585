package cli

import (
	"flag"
	"fmt"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

func intentCommands() []command {
	return []command{
		phaseCommand("drain", table.Draining, "let a host or endpoint finish its work and take nothing new"),
		phaseCommand("resume", table.Active, "let a host or endpoint take work again"),
		phaseCommand("retire", table.Retired, "take a host or endpoint out for good"),
		{name: "ask", args: "OPERATION", help: "settle whether a change whose reply was lost was accepted", run: runAsk},
	}
}

func phaseCommand(name string, phase table.Phase, help string) command {
	return command{
		name: name, args: "host|endpoint KEY", help: help, flags: editFlags,
		run: func(a *app, f *flag.FlagSet) error { return runPhase(a, f, phase) },
	}
}

// runPhase sets the phase of an endpoint, or of a host, whose row is made if there is none.
func runPhase(a *app, f *flag.FlagSet, phase table.Phase) error {
	if f.NArg() != 2 {
		return wrongArgs(f)
	}
	sheet, old, err := a.row(f.Arg(0), f.Arg(1))
	if err != nil {
		return err
	}
	if _, err := sheet.Column("phase"); err != nil {
		return fault.New(fault.BadUsage, sheet.Name, "want host or endpoint")
	}
	if old.Deleted && sheet.Kind == table.KindEndpoint {
		return fault.New(fault.UnknownName, "endpoint "+f.Arg(1), "no such row")
	}
	if old.Deleted {
		if old, err = table.NewRow(sheet.Kind, f.Arg(1), nil); err != nil {
			return err
		}
	}
	row, err := old.With("phase", phase.String())
	if err != nil {
		return err
	}
	return a.edit(f, old, row)
}

func runAsk(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	revision, err := a.writer.Settle(a.ctx, f.Arg(0))
	if err != nil {
		return err
	}
	if revision == 0 {
		fmt.Fprintln(a.out, "not accepted, and never will be")
		return nil
	}
	fmt.Fprintf(a.out, "accepted revision %d\n", revision)
	return nil
}
