package cli

import (
	"flag"
	"strconv"
	"strings"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

func rowCommands() []command {
	return []command{
		{name: "list", args: "KIND", help: "list the rows of a sheet: service, endpoint, route, customer, host, listener or hall", run: runList},
		{name: "get", args: "KIND KEY", help: "show one row", run: runGet},
		{name: "set", args: "KIND KEY [COLUMN=VALUE...]", help: "change cells of a row, or make a new one", run: runSet, flags: editFlags},
		{name: "delete", args: "KIND KEY", help: "take a row out", run: runDelete, flags: editFlags},
		{name: "columns", args: "KIND", help: "explain the columns of a sheet", run: runColumns},
	}
}

func editFlags(f *flag.FlagSet) {
	f.String("op", "", "operation id, to repeat a change whose reply was lost")
	f.String("version", "", "refuse unless the row is at this version")
}

func flagValue(f *flag.FlagSet, name string) string { return f.Lookup(name).Value.String() }

func runList(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	sheet, err := table.SheetNamed(f.Arg(0))
	if err != nil {
		return err
	}
	rows, err := a.reader.Sheet(a.ctx, sheet.Kind)
	if err != nil {
		return err
	}
	return a.printRows(sheet, rows)
}

func runGet(a *app, f *flag.FlagSet) error {
	if f.NArg() != 2 {
		return wrongArgs(f)
	}
	sheet, row, err := a.row(f.Arg(0), f.Arg(1))
	if err != nil {
		return err
	}
	if row.Deleted {
		return fault.New(fault.UnknownName, sheet.Name+" "+f.Arg(1), "no such row")
	}
	return a.printRows(sheet, []table.Row{row})
}

func (a *app) row(kind, key string) (table.Sheet, table.Row, error) {
	sheet, err := table.SheetNamed(kind)
	if err != nil {
		return sheet, table.Row{}, err
	}
	row, err := a.reader.Row(a.ctx, sheet.Kind, key)
	return sheet, row, err
}

// expected returns the version that the operator's edit rests on: the one named by a flag, else the one just read.
func expected(f *flag.FlagSet, row table.Row) (uint64, error) {
	text := flagValue(f, "version")
	if text == "" {
		return row.Version, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadUsage, "-version", "want a whole number")
	}
	return v, nil
}

func runSet(a *app, f *flag.FlagSet) error {
	if f.NArg() < 2 {
		return wrongArgs(f)
	}
	sheet, old, err := a.row(f.Arg(0), f.Arg(1))
	if err != nil {
		return err
	}
	cells := append(old.Cells, make([]string, len(sheet.Columns)-len(old.Cells))...)
	for _, arg := range f.Args()[2:] {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return fault.New(fault.BadUsage, arg, "want COLUMN=VALUE")
		}
		i, err := sheet.Column(name)
		if err != nil {
			return err
		}
		cells[i] = value
	}
	row, err := table.NewRow(sheet.Kind, f.Arg(1), cells)
	if err != nil {
		return err
	}
	return a.edit(f, old, row)
}

func (a *app) edit(f *flag.FlagSet, old, row table.Row) error {
	expect, err := expected(f, old)
	if err != nil {
		return err
	}
	return a.accept(flagValue(f, "op"), "", []changes.Edit{{Row: row, ExpectedVersion: expect}})
}

func runDelete(a *app, f *flag.FlagSet) error {
	if f.NArg() != 2 {
		return wrongArgs(f)
	}
	sheet, old, err := a.row(f.Arg(0), f.Arg(1))
	if err != nil {
		return err
	}
	if old.Deleted {
		return fault.New(fault.UnknownName, sheet.Name+" "+f.Arg(1), "no such row")
	}
	return a.edit(f, old, table.Row{Kind: sheet.Kind, Key: old.Key, Deleted: true})
}

func runColumns(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	sheet, err := table.SheetNamed(f.Arg(0))
	if err != nil {
		return err
	}
	lines := make([][]string, 0, len(sheet.Columns))
	for _, c := range sheet.Columns {
		value := c.Default
		if c.Required {
			value = "(required)"
		}
		lines = append(lines, []string{c.Name, value, c.Help})
	}
	return a.printReport(lines, []string{"COLUMN", "DEFAULT", "MEANING"}, lines)
}
