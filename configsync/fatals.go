package configsync

import (
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// noteFatals takes what a look has shown of requests under which endpoints ended; the look shows the store at a version. One that
// cannot be read is left out, and all others stand.
func (r *ownReader) noteFatals(recs []platform.Record, version uint64) error {
	rows := make([]table.Row, 0, len(recs))
	for _, rec := range recs {
		row, err := poison.RowOf(rec)
		if err != nil {
			r.f.leaveOut(rec.Key, err)
			continue
		}
		rows = append(rows, row)
	}
	return r.fatals.note(rows, !r.loaded, version)
}
