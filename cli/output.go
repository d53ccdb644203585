package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/tablefile"
)

// jsonRow is a row for programs.
type jsonRow struct {
	Kind     string            `json:"kind"`
	Key      string            `json:"key"`
	Version  uint64            `json:"version"`
	Revision uint64            `json:"revision"`
	Cells    map[string]string `json:"cells"`
}

// printRows prints the rows of one sheet in the asked format.
func (a *app) printRows(sheet table.Sheet, rows []table.Row) error {
	switch a.format {
	case "csv":
		return tablefile.WriteCSV(a.out, sheet, rows)
	case "yaml":
		return tablefile.WriteYAML(a.out, rows)
	case "json":
		return printJSON(a.out, jsonRows(sheet, rows))
	}
	head := []string{"KEY", "VERSION"}
	for _, c := range sheet.Columns {
		head = append(head, strings.ToUpper(c.Name))
	}
	lines := make([][]string, 0, len(rows))
	for _, r := range rows {
		lines = append(lines, append([]string{r.Key, strconv.FormatUint(r.Version, 10)}, r.Cells...))
	}
	return printTable(a.out, head, lines)
}

func jsonRows(sheet table.Sheet, rows []table.Row) []jsonRow {
	out := make([]jsonRow, 0, len(rows))
	for _, r := range rows {
		j := jsonRow{Kind: sheet.Name, Key: r.Key, Version: r.Version, Revision: r.Revision, Cells: map[string]string{}}
		for i, c := range sheet.Columns {
			j.Cells[c.Name] = r.Cells[i]
		}
		out = append(out, j)
	}
	return out
}

func printJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func printTable(w io.Writer, head []string, lines [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, l := range lines {
		fmt.Fprintln(t, strings.Join(l, "\t"))
	}
	if err := t.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "output", "cannot be written")
	}
	return nil
}

// printReport prints what nodes report: a table for people, else the values as they are.
func (a *app) printReport(values any, head []string, lines [][]string) error {
	switch a.format {
	case "json":
		return printJSON(a.out, values)
	case "yaml":
		text, err := json.Marshal(values)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "report", "cannot be encoded")
		}
		var plain any
		if err := yaml.Unmarshal(text, &plain); err != nil {
			return fault.Wrap(err, fault.Internal, "report", "cannot be encoded")
		}
		return yaml.NewEncoder(a.out).Encode(plain)
	case "csv":
		for _, l := range append([][]string{head}, lines...) {
			fmt.Fprintln(a.out, strings.Join(l, ","))
		}
		return nil
	}
	return printTable(a.out, head, lines)
}
