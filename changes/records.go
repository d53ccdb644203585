package changes

import (
	"encoding/json"
	"fmt"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// The records of the platform's table, by the start of their keys.
const (
	revisionKey = "meta/revision"
	rowPrefix   = "row/"
	logPrefix   = "log/"
	opPrefix    = "op/"
)

// revisionRecord is the value of the one record that every accepted change rewrites.
type revisionRecord struct {
	Revision uint64 `json:"revision"`
}

// opRecord is the value of an operation's record.
type opRecord struct {
	// Revision is where the operation was accepted, 0 for one that was voided.
	Revision uint64 `json:"revision"`
	Void     bool   `json:"void,omitempty"`
}

// rowRecord is a row as the table keeps it: cells by column, so that columns can be added.
type rowRecord struct {
	Kind     string            `json:"kind"`
	Key      string            `json:"key"`
	Revision uint64            `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
	Cells    map[string]string `json:"cells,omitempty"`
}

// Entry is one accepted change as the log keeps it.
type Entry struct {
	// Revision is the change's place in the fleet-wide order.
	Revision uint64 `json:"revision"`
	// Op is the operation id that the operator's tool drew.
	Op string `json:"op"`
	// Author is who made the change.
	Author string `json:"author"`
	// Source is the revision of the declarations, if the change came from version control.
	Source string `json:"source,omitempty"`
	// Rows are the rows after the change.
	Rows []rowRecord `json:"rows"`
}

func logKey(revision uint64) string { return fmt.Sprintf("%s%016d", logPrefix, revision) }

func rowKey(kind table.Kind, key string) string { return rowPrefix + kind.String() + "/" + key }

func toRecord(row table.Row) (rowRecord, error) {
	sheet, err := table.SheetOf(row.Kind)
	if err != nil {
		return rowRecord{}, err
	}
	rec := rowRecord{Kind: sheet.Name, Key: row.Key, Revision: row.Revision, Deleted: row.Deleted}
	if row.Deleted {
		return rec, nil
	}
	rec.Cells = make(map[string]string, len(row.Cells))
	for i, cell := range row.Cells {
		rec.Cells[sheet.Columns[i].Name] = cell
	}
	return rec, nil
}

// fromRecord reads a row, BadRow for one of a sheet that this program does not know. Columns that it does not know are left out, so
// that old nodes read new rows; a cell that cannot be read stays as it is, for the state to set the row aside.
func fromRecord(rec rowRecord, version uint64) (table.Row, error) {
	sheet, err := table.SheetNamed(rec.Kind)
	if err != nil {
		return table.Row{}, err
	}
	meta := table.Meta{Version: version, Revision: rec.Revision}
	if rec.Deleted {
		return table.Row{Meta: meta, Kind: sheet.Kind, Key: rec.Key, Deleted: true}, nil
	}
	cells := make([]string, len(sheet.Columns))
	for i, c := range sheet.Columns {
		cells[i] = rec.Cells[c.Name]
	}
	row, _ := table.NewRow(sheet.Kind, rec.Key, cells)
	row.Meta = meta
	return row, nil
}

func decodeRow(r platform.Record) (table.Row, error) {
	var rec rowRecord
	if err := decode(r, &rec); err != nil {
		return table.Row{}, err
	}
	return fromRecord(rec, r.Version)
}

func decode(r platform.Record, out any) error {
	if err := json.Unmarshal(r.Value, out); err != nil {
		return fault.Wrap(err, fault.Protocol, r.Key, "record cannot be read")
	}
	return nil
}

func encode(key string, value any) (platform.Write, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return platform.Write{}, fault.Wrap(err, fault.Internal, key, "record cannot be encoded")
	}
	return platform.Write{Key: key, Value: text}, nil
}
