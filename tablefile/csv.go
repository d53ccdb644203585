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

// The columns of a CSV file besides those of its kind of row. Only the key column is required.
const (
	keyColumn     = "key"
	versionColumn = "version"
)

// FileRow is a row with its position in the file it was read from.
type FileRow struct {
	table.Row
	// Position is the file and line, as "file:line".
	Position string
	// HasVersion is set if the file states the row's version.
	HasVersion bool
}

// ReadCSV reads the rows of one sheet. It reports all errors in the file together, each with file, line and field.
// Columns may be in any order, and columns other than the key may be missing; an empty cell takes the column's default.
func ReadCSV(name string, r io.Reader, sheet table.Sheet) ([]FileRow, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = -1
	header, err := in.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, name+":1", "want a header line")
	}
	columns, bad := headings(name, header, sheet)
	if len(bad) > 0 {
		return nil, bad
	}
	var rows []FileRow
	for {
		record, err := in.Read()
		if errors.Is(err, io.EOF) {
			return rows, bad.OrNil()
		}
		if err != nil {
			return nil, append(bad, fault.Wrap(err, fault.BadRow, name, "not valid CSV"))
		}
		n, _ := in.FieldPos(0)
		position := name + ":" + strconv.Itoa(n)
		if len(record) != len(header) {
			detail := fmt.Sprintf("want %d cells, got %d", len(header), len(record))
			bad = append(bad, fault.New(fault.BadRow, position, detail))
			continue
		}
		row, errs := readRecord(position, record, columns, sheet)
		bad = append(bad, errs...)
		rows = append(rows, row)
	}
}

// headings returns the name of the column of each cell in a record, and the errors in the header line.
func headings(name string, header []string, sheet table.Sheet) ([]string, fault.ListError) {
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

// readRecord returns the row of one record and the errors in it.
func readRecord(position string, record, columns []string, sheet table.Sheet) (FileRow, fault.ListError) {
	var bad fault.ListError
	var key string
	var version uint64
	fileRow := FileRow{Position: position}
	cells := make([]string, len(sheet.Columns))
	for i, column := range columns {
		text := strings.TrimSpace(record[i])
		switch column {
		case keyColumn:
			key = text
		case versionColumn:
			v, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				bad = append(bad, fault.New(fault.BadRow, position+" version", "want a whole number, got "+strconv.Quote(text)))
			}
			version, fileRow.HasVersion = v, true
		default:
			index, _ := sheet.Column(column)
			cells[index] = text
		}
	}
	row, err := table.NewRow(sheet.Kind, key, cells)
	row.Version = version
	fileRow.Row = row
	return fileRow, append(bad, withPosition(position, err)...)
}

// withPosition returns the errors of a row, each with the row's position in front.
func withPosition(position string, err error) fault.ListError {
	var list fault.ListError
	if err == nil {
		return nil
	}
	if !errors.As(err, &list) {
		return fault.ListError{fault.Wrap(err, fault.BadRow, position, "row cannot be read")}
	}
	out := make(fault.ListError, 0, len(list))
	for _, e := range list {
		out = append(out, fault.New(e.Code, position+": "+e.Where, e.Detail))
	}
	return out
}

// WriteCSV writes rows of one sheet with their keys and versions.
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
