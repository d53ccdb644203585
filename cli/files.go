package cli

import (
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/tablefile"
)

func fileCommands() []command {
	importFlags := func(f *flag.FlagSet) {
		f.String("op", "", "operation id, to repeat a change whose reply was lost")
		f.String("kind", "", "kind of a CSV file that is not named after it")
	}
	applyFlags := func(f *flag.FlagSet) {
		f.String("op", "", "operation id, to repeat a change whose reply was lost")
		f.String("source", "", "revision of the declarations, recorded with the change")
		f.Bool("prune", false, "also take out the rows that are not declared")
	}
	return []command{
		{name: "import", args: "FILE", help: "write the rows of a .csv or .yaml file, all or none", run: runImport, flags: importFlags},
		{name: "export", args: "[KIND]", help: "print a sheet, or every sheet as YAML", run: runExport},
		{name: "diff", args: "DIR", help: "compare declarations with the table", run: runDiff, flags: applyFlags},
		{name: "apply", args: "DIR", help: "bring the table to the declarations, all or nothing", run: runApply, flags: applyFlags},
	}
}

func runImport(a *app, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return wrongArgs(f)
	}
	lines, err := tablefile.ReadFile(f.Arg(0), flagValue(f, "kind"))
	if err != nil {
		return err
	}
	edits, err := a.editsFor(lines, false)
	if err != nil {
		return err
	}
	return a.accept(flagValue(f, "op"), "", edits)
}

func runExport(a *app, f *flag.FlagSet) error {
	if f.NArg() == 1 {
		if a.format == "table" {
			a.format = "csv"
		}
		return runList(a, f)
	}
	var all []table.Row
	for _, sheet := range table.Sheets {
		rows, err := a.reader.Sheet(a.ctx, sheet.Kind)
		if err != nil {
			return err
		}
		all = append(all, rows...)
	}
	return tablefile.WriteYAML(a.out, all)
}

// editsFor returns the edits that bring the table to the lines. A line that names its version is written against it,
// so that an edit made since the export shows as a conflict.
func (a *app) editsFor(lines []tablefile.FileRow, prune bool) ([]changes.Edit, error) {
	current, err := a.current()
	if err != nil {
		return nil, err
	}
	var edits []changes.Edit
	for _, l := range lines {
		id := rowID{l.Kind, l.Key}
		old, exists := current[id]
		delete(current, id)
		if exists && slices.Equal(old.Cells, l.Cells) {
			continue
		}
		expect := old.Version
		if l.HasVersion {
			expect = l.Version
		}
		edits = append(edits, changes.Edit{Row: l.Row, ExpectedVersion: expect})
	}
	if !prune {
		return edits, nil
	}
	for id, old := range current {
		gone := table.Row{Kind: id.kind, Key: id.key, Deleted: true}
		edits = append(edits, changes.Edit{Row: gone, ExpectedVersion: old.Version})
	}
	slices.SortFunc(edits, func(x, y changes.Edit) int {
		return strings.Compare(x.Row.Kind.String()+x.Row.Key, y.Row.Kind.String()+y.Row.Key)
	})
	return edits, nil
}

type rowID struct {
	kind table.Kind
	key  string
}

func (a *app) current() (map[rowID]table.Row, error) {
	out := make(map[rowID]table.Row)
	for _, sheet := range table.Sheets {
		rows, err := a.reader.Sheet(a.ctx, sheet.Kind)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			out[rowID{r.Kind, r.Key}] = r
		}
	}
	return out, nil
}

func (a *app) declared(f *flag.FlagSet) ([]changes.Edit, error) {
	if f.NArg() != 1 {
		return nil, wrongArgs(f)
	}
	lines, err := tablefile.ReadDir(f.Arg(0))
	if err != nil {
		return nil, err
	}
	return a.editsFor(lines, flagValue(f, "prune") == "true")
}

func runDiff(a *app, f *flag.FlagSet) error {
	edits, err := a.declared(f)
	if err != nil {
		return err
	}
	for _, e := range edits {
		if err := a.printEdit(e); err != nil {
			return err
		}
	}
	if len(edits) > 0 {
		return fault.New(codeDiffers, f.Arg(0), fmt.Sprintf("%d rows differ from the table", len(edits)))
	}
	fmt.Fprintln(a.out, "no difference")
	return nil
}

func (a *app) printEdit(e changes.Edit) error {
	name := e.Row.Kind.String() + " " + e.Row.Key
	if e.Row.Deleted {
		fmt.Fprintf(a.out, "- %s\n", name)
		return nil
	}
	if e.ExpectedVersion == 0 {
		fmt.Fprintf(a.out, "+ %s %s\n", name, strings.Join(e.Row.Cells, " "))
		return nil
	}
	sheet, old, err := a.row(e.Row.Kind.String(), e.Row.Key)
	if err != nil {
		return err
	}
	for i, c := range sheet.Columns {
		if !old.Deleted && old.Cells[i] != e.Row.Cells[i] {
			fmt.Fprintf(a.out, "~ %s %s: %s -> %s\n", name, c.Name, old.Cells[i], e.Row.Cells[i])
		}
	}
	return nil
}

func runApply(a *app, f *flag.FlagSet) error {
	edits, err := a.declared(f)
	if err != nil {
		return err
	}
	return a.accept(flagValue(f, "op"), flagValue(f, "source"), edits)
}
