package tablefile

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/table"
)

// TestScripts reads the inputs of testdata as "csv kind=K" or "yaml" and prints the rows, or every fault.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var lines []FileRow
			var err error
			if d.Cmd == "yaml" {
				lines, err = ReadYAML("in.yaml", []byte(d.Input))
			} else {
				kind := ""
				d.ScanArgs(t, "kind", &kind)
				sheet, sheetErr := table.SheetNamed(kind)
				if sheetErr != nil {
					d.Fatalf(t, "%v", sheetErr)
				}
				lines, err = ReadCSV("in.csv", strings.NewReader(d.Input), sheet)
			}
			if err != nil {
				return err.Error() + "\n"
			}
			var b strings.Builder
			for _, l := range lines {
				b.WriteString(l.Position + " " + l.Kind.String() + " " + l.Key + " " + strings.Join(l.Cells, " ") + "\n")
			}
			return b.String()
		})
	})
}

// TestRoundTrip writes rows in both forms and reads them back.
func TestRoundTrip(t *testing.T) {
	row, err := table.NewRow(table.KindEndpoint, "e1", []string{"dd", "h1", "hall, one", "127.0.0.1:1", "3"})
	if err != nil {
		t.Fatal(err)
	}
	sheet, err := table.SheetOf(row.Kind)
	if err != nil {
		t.Fatal(err)
	}
	var csvText, yamlText bytes.Buffer
	if err := WriteCSV(&csvText, sheet, []table.Row{row}); err != nil {
		t.Fatal(err)
	}
	if err := WriteYAML(&yamlText, []table.Row{row}); err != nil {
		t.Fatal(err)
	}
	fromCSV, err := ReadCSV("x.csv", &csvText, sheet)
	if err != nil {
		t.Fatal(err)
	}
	fromYAML, err := ReadYAML("x.yaml", yamlText.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Join(row.Cells, "|")
	for _, got := range []string{strings.Join(fromCSV[0].Cells, "|"), strings.Join(fromYAML[0].Cells, "|")} {
		if got != want {
			t.Errorf("cells: got %q, want %q", got, want)
		}
	}
}
