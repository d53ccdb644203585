package configsync

import (
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// applyPoisonRecords applies the records that a read of the store at a version has returned of requests during which
// endpoints crashed. Records that cannot be decoded are skipped; all others are applied.
func (r *productReader) applyPoisonRecords(recs []platform.Record, version uint64) error {
	rows := make([]table.Row, 0, len(recs))
	for _, rec := range recs {
		row, err := poison.RowOf(rec)
		if err != nil {
			r.f.noteSkipped(rec.Key, err)
			continue
		}
		rows = append(rows, row)
	}
	return r.poisonRequests.note(rows, !r.loaded, version)
}
