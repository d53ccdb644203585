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

// ReadFile reads a .yaml, .yml or .csv file. The parameter kind names the sheet of a CSV file; if it is "",
// the base name of the file does.
func ReadFile(path, kind string) ([]Line, error) {
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

// ReadDir reads all .yaml, .yml and .csv files of a directory. The error lists every fault of a file and all rows that
// are given more than once.
func ReadDir(dir string) ([]Line, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRow, dir, "cannot be read")
	}
	var lines []Line
	var bad fault.ListError
	for _, e := range entries {
		if e.IsDir() || !slices.Contains([]string{".yaml", ".yml", ".csv"}, filepath.Ext(e.Name())) {
			continue
		}
		fileLines, err := ReadFile(filepath.Join(dir, e.Name()), "")
		if err != nil {
			bad = append(bad, errorList(err)...)
		}
		lines = append(lines, fileLines...)
	}
	return lines, append(bad, findDuplicates(lines)...).OrNil()
}

func errorList(err error) fault.ListError {
	if list, ok := err.(fault.ListError); ok { //nolint:errorlint // the readers return it unwrapped
		return list
	}
	return fault.ListError{fault.Wrap(err, fault.BadRow, "", "file cannot be read")}
}

func findDuplicates(lines []Line) fault.ListError {
	type id struct {
		kind table.Kind
		key  string
	}
	first := make(map[id]string)
	var bad fault.ListError
	for _, l := range lines {
		i := id{l.Kind, l.Key}
		if where, ok := first[i]; ok {
			bad = append(bad, fault.New(fault.BadRow, l.Where+": "+l.Kind.String()+" "+l.Key, "stands already at "+where))
			continue
		}
		first[i] = l.Where
	}
	return bad
}
