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
	// Prefix starts the keys of the rows in the product's own table.
	KeyPrefix = "fatal/"
	// BarAfter is how many endpoints may end under a request before it is kept from all: what the users bear.
	BlockThreshold = 3
	// SendOnce is from how many ends on a request that an endpoint may have had is not sent to a second one: the third end must
	// not come of a second send, and what a sound request loses by it is one further try.
	NoRetryThreshold = 1
	// ForgetAfter is how long fewer ends are held against a request: a request that ends what runs it comes again within
	// seconds, and an endpoint ends once in hours.
	ForgetAfter = 10 * time.Minute
	// mostEnds bounds the ends that a row names; beyond BarAfter they only tell operators more.
	mostEnds = 8
)

// record is a row as the store keeps it.
type record struct {
	Service string       `json:"service"`
	Ends    []string     `json:"ends"`
	At      table.Moment `json:"at"`
}

// EndOf names an end among all: an endpoint that is a row of the table has the same key in each of its lives.
func EndOf(endpoint string, at time.Time) string {
	return strings.ReplaceAll(endpoint, ",", "_") + "@" + strconv.FormatInt(at.UnixMilli(), 10)
}

// WithEnds returns what is known of a request after more endpoints have ended; each counts once.
func WithCrashes(f table.PoisonRequest, service string, ends []string, at time.Time) table.PoisonRequest {
	list := f.Ends.List()
	for _, end := range ends {
		if len(list) < mostEnds && !slices.Contains(list, end) {
			list = append(list, end)
		}
	}
	f.Ends = table.NamesOf(list)
	f.Service = service
	f.At = max(f.At, table.MomentOf(at))
	return f
}

// Barred tells whether a request is kept from all endpoints.
func Blocked(f table.PoisonRequest) bool { return len(f.Ends.List()) >= BlockThreshold }

// Forgotten tells whether what is known of a request no longer counts.
//
// Invariant: a request that is barred stays so until an operator lifts it.
func Forgotten(f table.PoisonRequest, now time.Time) bool {
	return !Blocked(f) && now.Sub(f.At.Time()) > ForgetAfter
}

// KeyOf returns the key of a content's row in the store.
func KeyOf(c Fingerprint) string { return KeyPrefix + c.String() }

// Encode returns what the store keeps of a request.
func Encode(f table.PoisonRequest) ([]byte, error) {
	text, err := json.Marshal(record{Service: f.Service, Ends: f.Ends.List(), At: f.At})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, f.Service, "row cannot be encoded")
	}
	return text, nil
}

// Decode reads what the store keeps of a request, BadRow for what no node has written.
func Decode(rec platform.Record) (table.PoisonRequest, error) {
	var r record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return table.PoisonRequest{}, fault.Wrap(err, fault.BadRow, rec.Key, "row cannot be read")
	}
	bad := func(name string) bool { return name == "" || strings.ContainsAny(name, ", \t\r\n/") }
	if bad(r.Service) || len(r.Ends) == 0 || len(r.Ends) > mostEnds || slices.ContainsFunc(r.Ends, bad) {
		return table.PoisonRequest{}, fault.New(fault.BadRow, rec.Key, "want a service and the endpoints that ended")
	}
	return table.PoisonRequest{Service: r.Service, Ends: table.NamesOf(r.Ends), At: r.At}, nil
}

// RowOf returns the row of a record of the store, or its removal; BadRow for what no node has written.
func RowOf(rec platform.Record) (table.Row, error) {
	key := strings.TrimPrefix(rec.Key, KeyPrefix)
	meta := table.Meta{Version: rec.Version, Revision: rec.Version, Source: table.SourcePoison}
	if rec.Deleted {
		return table.Row{Kind: table.KindPoison, Key: key, Meta: meta, Deleted: true}, nil
	}
	if _, ok := ParseFingerprint(key); !ok {
		return table.Row{}, fault.New(fault.BadRow, rec.Key, "want a content as the key")
	}
	f, err := Decode(rec)
	if err != nil {
		return table.Row{}, err
	}
	return table.Encode(table.KindPoison, key, meta, f), nil
}
