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

// The columns of a CSV file in addition to those of the sheet.
const (
	keyColumn     = "key"
	versionColumn = "version"
)

// Line is a row read from a file, with its location there.
type Line struct {
	table.Row
	// Where is the location as "FILE:LINE".
	Where string
	// Versioned is set if the file states the row's version.
	Versioned bool
}

// ReadCSV reads the rows of one sheet. The error lists every fault, with file, line and column. Columns may be in any
// order and may be missing; an empty or missing cell takes the column's default.
func ReadCSV(name string, r io.Reader, sheet table.Sheet) ([]Line, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, name+":1", "want a header line")
	}
	columns, bad := parseHeader(name, header, sheet)
	if len(bad) > 0 {
		return nil, bad
	}
	var lines []Line
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return lines, bad.OrNil()
		}
		if err != nil {
			return nil, append(bad, fault.Wrap(err, fault.BadRow, name, "not CSV"))
		}
		number, _ := reader.FieldPos(0)
		where := name + ":" + strconv.Itoa(number)
		if len(record) != len(header) {
			detail := fmt.Sprintf("want %d cells, got %d", len(header), len(record))
			bad = append(bad, fault.New(fault.BadRow, where, detail))
			continue
		}
		line, faults := parseRecord(where, record, columns, sheet)
		bad = append(bad, faults...)
		lines = append(lines, line)
	}
}

// parseHeader returns the column name of each cell in a record.
func parseHeader(name string, header []string, sheet table.Sheet) ([]string, fault.ListError) {
	var bad fault.ListError
	seen := make(map[string]bool)
	columns := make([]string, len(header))
	for i, text := range header {
		text = strings.TrimSpace(text)
		columns[i] = text
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
	return columns, bad
}

func parseRecord(where string, record, columns []string, sheet table.Sheet) (Line, fault.ListError) {
	var bad fault.ListError
	var key string
	var version uint64
	line := Line{Where: where}
	cells := make([]string, len(sheet.Columns))
	for i, column := range columns {
		text := strings.TrimSpace(record[i])
		switch column {
		case keyColumn:
			key = text
		case versionColumn:
			v, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				bad = append(bad, fault.New(fault.BadRow, where+" version", "want a whole number, got "+strconv.Quote(text)))
			}
			version, line.Versioned = v, true
		default:
			index, _ := sheet.Column(column)
			cells[index] = text
		}
	}
	row, err := table.NewRow(sheet.Kind, key, cells)
	row.Version = version
	line.Row = row
	return line, append(bad, withLocation(where, err)...)
}

// withLocation puts the file and line in front of each error of a row.
func withLocation(where string, err error) fault.ListError {
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

// WriteCSV writes rows of one sheet, with their keys and versions.
func WriteCSV(w io.Writer, sheet table.Sheet, rows []table.Row) error {
	out := csv.NewWriter(w)
	header := make([]string, 0, len(sheet.Columns)+2)
	header = append(header, keyColumn, versionColumn)
	for _, c := range sheet.Columns {
		header = append(header, c.Name)
	}
	if err := out.Write(header); err != nil {
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
