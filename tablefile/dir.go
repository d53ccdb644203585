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

// ReadFile reads a .yaml or .csv file; kind names the sheet of a CSV file, "" for the file's own name.
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

// ReadDir reads every .yaml and .csv file of a directory and refuses rows that stand in two places.
func ReadDir(dir string) ([]FileRow, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, dir, "cannot be read")
	}
	var lines []FileRow
	var bad fault.ListError
	for _, e := range entries {
		if e.IsDir() || !slices.Contains([]string{".yaml", ".yml", ".csv"}, filepath.Ext(e.Name())) {
			continue
		}
		more, err := ReadFile(filepath.Join(dir, e.Name()), "")
		if err != nil {
			bad = append(bad, placedFile(err)...)
		}
		lines = append(lines, more...)
	}
	return lines, append(bad, twice(lines)...).OrNil()
}

func placedFile(err error) fault.ListError {
	if list, ok := err.(fault.ListError); ok { //nolint:errorlint // the readers return it bare
		return list
	}
	return fault.ListError{fault.Wrap(err, fault.BadRow, "", "file cannot be read")}
}

func twice(lines []FileRow) fault.ListError {
	type id struct {
		kind table.Kind
		key  string
	}
	first := make(map[id]string)
	var bad fault.ListError
	for _, l := range lines {
		i := id{l.Kind, l.Key}
		if at, ok := first[i]; ok {
			bad = append(bad, fault.New(fault.BadRow, l.Position+": "+l.Kind.String()+" "+l.Key, "stands already at "+at))
			continue
		}
		first[i] = l.Position
	}
	return bad
}
