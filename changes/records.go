package changes

import (
	"encoding/json"
	"fmt"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// The keys, or prefixes of keys, of the records in the platform's table.
const (
	revisionKey = "meta/revision"
	rowPrefix   = "row/"
	logPrefix   = "log/"
	opPrefix    = "op/"
)

// revisionRecord is the value of the record under revisionKey, which every accepted change rewrites.
type revisionRecord struct {
	Revision uint64 `json:"revision"`
}

// opRecord is the value of an operation's record, which shows whether the operation was accepted or voided.
type opRecord struct {
	// Revision is the revision at which the operation was accepted, 0 if it was voided.
	Revision uint64 `json:"revision"`
	Void     bool   `json:"void,omitempty"`
}

// rowRecord is the stored form of a row. Cells are stored by column name, so that columns can be added.
type rowRecord struct {
	Kind     string            `json:"kind"`
	Key      string            `json:"key"`
	Revision uint64            `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
	Cells    map[string]string `json:"cells,omitempty"`
}

// Entry is one accepted change as stored in the log.
type Entry struct {
	// Revision is the position of the change in the fleet-wide order.
	Revision uint64 `json:"revision"`
	// Op is the operation id that the operator's tool generated.
	Op string `json:"op"`
	// Author names the person or tool that made the change.
	Author string `json:"author"`
	// Source is the version-control revision of the declarations, if the change came from there.
	Source string `json:"source,omitempty"`
	// Rows are the changed rows, as they are after the change.
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

// fromRecord decodes a row. It fails with BadRow for an unknown kind of row. Unknown columns are skipped, so that older
// nodes can read newer rows. A cell that cannot be decoded keeps its text, and the state later sets the row aside.
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
		return fault.Wrap(err, fault.Protocol, r.Key, "record cannot be decoded")
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
