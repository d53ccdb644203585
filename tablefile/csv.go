package tablefile

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// The columns of a CSV sheet besides the kind's own.
const (
	keyColumn     = "key"
	versionColumn = "version"
)

// Line is a row with its place in a file.
type FileRow struct {
	table.Row
	// Where is the file and line.
	Position string
	// Versioned is set when the file gives the row's version.
	HasVersion bool
}

// ReadCSV reads one sheet; it returns every fault at once, each with file, line and field. Columns may come in any
// order and may be missing; an empty cell takes the column's default.
func ReadCSV(name string, r io.Reader, sheet table.Sheet) ([]FileRow, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = -1
	head, err := in.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, name+":1", "want a line of headings")
	}
	places, bad := headings(name, head, sheet)
	if len(bad) > 0 {
		return nil, bad
	}
	var lines []FileRow
	for {
		record, err := in.Read()
		if errors.Is(err, io.EOF) {
			return lines, bad.OrNil()
		}
		if err != nil {
			return nil, append(bad, fault.Wrap(err, fault.BadRow, name, "not CSV"))
		}
		n, _ := in.FieldPos(0)
		where := name + ":" + strconv.Itoa(n)
		if len(record) != len(head) {
			detail := fmt.Sprintf("want %d cells, got %d", len(head), len(record))
			bad = append(bad, fault.New(fault.BadRow, where, detail))
			continue
		}
		line, faults := readRecord(where, record, places, sheet)
		bad = append(bad, faults...)
		lines = append(lines, line)
	}
}

// headings returns for each cell of a record the name of its column.
func headings(name string, head []string, sheet table.Sheet) ([]string, fault.ListError) {
	var bad fault.ListError
	seen := make(map[string]bool)
	places := make([]string, len(head))
	for i, text := range head {
		text = strings.TrimSpace(text)
		places[i] = text
		_, err := sheet.Column(text)
		switch {
		case seen[text]:
			bad = append(bad, fault.New(fault.BadRow, name+":1 "+text, "heading stands twice"))
		case text != keyColumn && text != versionColumn && err != nil:
			bad = append(bad, fault.New(fault.BadRow, name+":1 "+text, "no such column"))
		}
		seen[text] = true
	}
	if !seen[keyColumn] {
		bad = append(bad, fault.New(fault.BadRow, name+":1", `want a column "key"`))
	}
	return places, bad
}

func readRecord(where string, record, places []string, sheet table.Sheet) (FileRow, fault.ListError) {
	var bad fault.ListError
	var key string
	var version uint64
	line := FileRow{Position: where}
	cells := make([]string, len(sheet.Columns))
	for i, column := range places {
		text := strings.TrimSpace(record[i])
		switch column {
		case keyColumn:
			key = text
		case versionColumn:
			v, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				bad = append(bad, fault.New(fault.BadRow, where+" version", "want a whole number, got "+strconv.Quote(text)))
			}
			version, line.HasVersion = v, true
		default:
			at, _ := sheet.Column(column)
			cells[at] = text
		}
	}
	row, err := table.NewRow(sheet.Kind, key, cells)
	row.Version = version
	line.Row = row
	return line, append(bad, placed(where, err)...)
}

// placed puts the file and line before each fault of a row.
func placed(where string, err error) fault.ListError {
	var list fault.ListError
	if err == nil {
		return nil
	}
	if !errors.As(err, &list) {
		return fault.ListError{fault.Wrap(err, fault.BadRow, where, "row cannot be read")}
	}
	out := make(fault.ListError, 0, len(list))
	for _, e := range list {
		out = append(out, fault.New(e.Code, where+": "+e.Where, e.Detail))
	}
	return out
}

// WriteCSV writes one sheet with keys and versions.
func WriteCSV(w io.Writer, sheet table.Sheet, rows []table.Row) error {
	out := csv.NewWriter(w)
	head := make([]string, 0, len(sheet.Columns)+2)
	head = append(head, keyColumn, versionColumn)
	for _, c := range sheet.Columns {
		head = append(head, c.Name)
	}
	if err := out.Write(head); err != nil {
		return fault.Wrap(err, fault.Unavailable, "output", "cannot be written")
	}
	for _, r := range rows {
		record := append([]string{r.Key, strconv.FormatUint(r.Version, 10)}, r.Cells...)
		if err := out.Write(record); err != nil {
			return fault.Wrap(err, fault.Unavailable, "output", "cannot be written")
		}
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "output", "cannot be written")
	}
	return nil
}
