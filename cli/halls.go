package cli

import (
	"flag"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

func hallCommands() []command {
	return []command{
		{name: "evacuate", args: "HALL", flags: editFlags, run: runEvacuate, help: "let the endpoints of a hall finish their work and take nothing new"},
		{name: "return", args: "HALL", flags: editFlags, run: runReturn, help: "take an evacuated hall back"},
	}
}

func runEvacuate(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	now, err := table.MomentOf(time.Now()).MarshalText()
	if err != nil {
		return err
	}
	return a.setHall(f, map[string]string{"evacuated": "yes", "since": string(now), "by": a.cfg.Author})
}

// runReturn takes a hall back that was evacuated with this tool or by declarations.
func runReturn(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	sheet, row, err := a.row("hall", f.Arg(0))
	if err != nil {
		return err
	}
	if row.Deleted || row.Cells[columnOf(sheet, "evacuated")] != "yes" {
		return fault.New(fault.UnknownName, "hall "+f.Arg(0), "is not evacuated by a row of the table; see lynxplankctl list halls")
	}
	return a.setHall(f, map[string]string{"evacuated": "no", "since": "", "by": ""})
}

// columnOf is the place of a column that the sheet has.
func columnOf(sheet table.Sheet, name string) int {
	return slices.IndexFunc(sheet.Columns, func(c table.Column) bool { return c.Name == name })
}

// setHall changes cells of a hall's row, which is made if there is none.
func (a *app) setHall(f *flag.FlagSet, cells map[string]string) error {
	sheet, old, err := a.row("hall", f.Arg(0))
	if err != nil {
		return err
	}
	next := append(slices.Clone(old.Cells), make([]string, len(sheet.Columns)-len(old.Cells))...)
	for name, text := range cells {
		next[columnOf(sheet, name)] = text
	}
	row, err := table.NewRow(sheet.Kind, f.Arg(0), next)
	if err != nil {
		return err
	}
	return a.edit(f, old, row)
}
