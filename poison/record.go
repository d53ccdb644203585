package poison

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// KeyPrefix starts the keys of these rows in the product's table.
	KeyPrefix = "fatal/"
	// BlockThreshold is how many endpoints may crash while they run a request before it is blocked: the most that users
	// can tolerate.
	BlockThreshold = 3
	// NoRetryThreshold is the number of crashes from which a request that an endpoint may have received is not sent to
	// a second one: the third crash must not come from a second send. A harmless request loses one retry by it.
	NoRetryThreshold = 1
	// SuspicionDuration is how long fewer crashes than BlockThreshold count against a request. A poison request is
	// repeated within seconds, while an endpoint crashes by itself once in hours.
	SuspicionDuration = 10 * time.Minute
	// maxCrashes bounds the crashes that a row lists. Those beyond BlockThreshold only inform operators.
	maxCrashes = 8
)

// record is a row as the store holds it.
type record struct {
	Service string       `json:"service"`
	Crashes []string     `json:"ends"`
	At      table.Moment `json:"at"`
}

// CrashID returns the name of a crash, unique among all crashes. It contains the time because an endpoint that is a row
// of the table has the same key each time its process is started.
func CrashID(endpoint string, at time.Time) string {
	return strings.ReplaceAll(endpoint, ",", "_") + "@" + strconv.FormatInt(at.UnixMilli(), 10)
}

// WithCrashes returns a request's row with more crashes added. Each crash counts once.
func WithCrashes(f table.PoisonRequest, service string, crashes []string, at time.Time) table.PoisonRequest {
	list := f.Ends.List()
	for _, crash := range crashes {
		if len(list) < maxCrashes && !slices.Contains(list, crash) {
			list = append(list, crash)
		}
	}
	f.Ends = table.NamesOf(list)
	f.Service = service
	f.At = max(f.At, table.MomentOf(at))
	return f
}

// Blocked reports whether a request is sent to no endpoint any more.
func Blocked(f table.PoisonRequest) bool { return len(f.Ends.List()) >= BlockThreshold }

// Expired reports whether the crashes recorded for a request no longer count.
//
// Invariant: a blocked request stays blocked until an operator removes its row.
func Expired(f table.PoisonRequest, now time.Time) bool {
	return !Blocked(f) && now.Sub(f.At.Time()) > SuspicionDuration
}

// KeyOf returns the key in the store of the row of a fingerprint.
func KeyOf(f Fingerprint) string { return KeyPrefix + f.String() }

// Encode returns a request's row as the store holds it.
func Encode(f table.PoisonRequest) ([]byte, error) {
	text, err := json.Marshal(record{Service: f.Service, Crashes: f.Ends.List(), At: f.At})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, f.Service, "row of a poison request cannot be encoded")
	}
	return text, nil
}

// Decode decodes a request's row. It returns a BadRow fault for a row that no node has written.
func Decode(rec platform.Record) (table.PoisonRequest, error) {
	var r record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return table.PoisonRequest{}, fault.Wrap(err, fault.BadRow, rec.Key, "row of a poison request cannot be decoded")
	}
	invalid := func(name string) bool { return name == "" || strings.ContainsAny(name, ", \t\r\n/") }
	if invalid(r.Service) || len(r.Crashes) == 0 || len(r.Crashes) > maxCrashes || slices.ContainsFunc(r.Crashes, invalid) {
		return table.PoisonRequest{}, fault.New(fault.BadRow, rec.Key, "row of a poison request has an invalid service, invalid crash names, or too few or too many of them")
	}
	return table.PoisonRequest{Service: r.Service, Ends: table.NamesOf(r.Crashes), At: r.At}, nil
}

// RowOf returns the table row of a record of the store, or the removal of that row if the record is deleted. It returns
// a BadRow fault for a record that no node has written.
func RowOf(rec platform.Record) (table.Row, error) {
	key := strings.TrimPrefix(rec.Key, KeyPrefix)
	meta := table.Meta{Version: rec.Version, Revision: rec.Version, Source: table.SourcePoison}
	if rec.Deleted {
		return table.Row{Kind: table.KindPoison, Key: key, Meta: meta, Deleted: true}, nil
	}
	if _, ok := ParseFingerprint(key); !ok {
		return table.Row{}, fault.New(fault.BadRow, rec.Key, "key of a poison request's row is not a fingerprint")
	}
	f, err := Decode(rec)
	if err != nil {
		return table.Row{}, err
	}
	return table.Encode(table.KindPoison, key, meta, f), nil
}
