package tablefile

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// ReadFile reads a .yaml, .yml or .csv file. The rows of a CSV file are of the given kind; if kind is "", the file's
// name without its extension names the kind.
func ReadFile(path, kind string) ([]FileRow, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, path, "cannot be read")
	}
	switch filepath.Ext(path) {
	case ".yaml", ".yml":
		return ReadYAML(path, text)
	case ".csv":
		if kind == "" {
			kind = strings.TrimSuffix(filepath.Base(path), ".csv")
		}
		sheet, err := table.SheetNamed(kind)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRow, path, "a CSV file is named after its kind of row")
		}
		return ReadCSV(path, bytes.NewReader(text), sheet)
	}
	return nil, fault.New(fault.BadRow, path, "want a .yaml or .csv file")
}

// ReadDir reads every .yaml, .yml and .csv file of a directory and reports rows that occur more than once.
func ReadDir(dir string) ([]FileRow, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, dir, "cannot be read")
	}
	var rows []FileRow
	var bad fault.ListError
	for _, e := range entries {
		if e.IsDir() || !slices.Contains([]string{".yaml", ".yml", ".csv"}, filepath.Ext(e.Name())) {
			continue
		}
		fileRows, err := ReadFile(filepath.Join(dir, e.Name()), "")
		if err != nil {
			bad = append(bad, asList(err)...)
		}
		rows = append(rows, fileRows...)
	}
	return rows, append(bad, findDuplicates(rows)...).OrNil()
}

// asList returns the errors of a file as a list.
func asList(err error) fault.ListError {
	if list, ok := err.(fault.ListError); ok { //nolint:errorlint // the readers return the list unwrapped
		return list
	}
	return fault.ListError{fault.Wrap(err, fault.BadRow, "", "file cannot be read")}
}

// findDuplicates returns an error for each row that has the kind and key of an earlier row.
func findDuplicates(rows []FileRow) fault.ListError {
	type id struct {
		kind table.Kind
		key  string
	}
	first := make(map[id]string)
	var bad fault.ListError
	for _, r := range rows {
		i := id{r.Kind, r.Key}
		if position, ok := first[i]; ok {
			bad = append(bad, fault.New(fault.BadRow, r.Position+": "+r.Kind.String()+" "+r.Key, "stands already at "+position))
			continue
		}
		first[i] = r.Position
	}
	return bad
}
