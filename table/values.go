package table

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// Duration is a non-negative duration with the text form of time.Duration, such as "250ms".
type Duration time.Duration

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration of zero or more; it fails with BadRow for any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fault.New(fault.BadRow, "", `want a time span with a unit, such as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// Percent is a share from 0 to 1 with a text form such as "60%".
type Percent float64

const percentScale = 100

// MarshalText returns the share as a percentage.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(p)*percentScale, 'g', 6, 64) + "%"), nil
}

// UnmarshalText parses a share from "0%" to "100%"; it fails with BadRow for any other text.
func (p *Percent) UnmarshalText(text []byte) error {
	digits, ok := strings.CutSuffix(string(text), "%")
	v, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(v >= 0 && v <= percentScale) {
		return fault.New(fault.BadRow, "", `want a share from "0%" to "100%"`)
	}
	*p = Percent(v / percentScale)
	return nil
}

// Count is a non-negative integer.
type Count uint32

// MarshalText returns the number in decimal.
func (c Count) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(c), 10), nil
}

// UnmarshalText parses an integer from 0 to 4294967295; it fails with BadRow for any other text.
func (c *Count) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return fault.New(fault.BadRow, "", "want a whole number of 0 or more")
	}
	*c = Count(v)
	return nil
}

// Rate is a non-negative number that may have a fraction, such as "0.05" a day or "250" a second.
type Rate float64

const maxRate = 1e9

// MarshalText returns the shortest text that parses to the same number.
func (r Rate) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(r), 'g', -1, 64), nil
}

// UnmarshalText parses a number from 0 to 1e9; it fails with BadRow for any other text.
func (r *Rate) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 0 && v <= maxRate) {
		return fault.New(fault.BadRow, "", "want a number of 0 or more")
	}
	*r = Rate(v)
	return nil
}

// Phase is the stage of an endpoint's or host's life; it says whether it takes new work.
type Phase uint8

// The phases in their order. Code compares them: the later of two phases prevails.
const (
	// Active means that it takes new work.
	Active Phase = iota
	// Draining means that it takes no new work and finishes its requests in flight.
	Draining
	// Retired means that it takes no work and is about to be removed.
	Retired
)

var phaseNames = []string{"active", "draining", "retired"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// MarshalText returns the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses a phase's name; it fails with BadRow for any other text.
func (p *Phase) UnmarshalText(text []byte) error {
	i, err := indexOf(phaseNames, string(text))
	*p = Phase(i) //nolint:gosec // the index of one of three names
	return err
}

// Repeat says whether a request may run more than once.
type Repeat uint8

// The rules for whether a request may run more than once.
const (
	// ByMethod follows the semantics of the HTTP method: GET, HEAD, OPTIONS and TRACE may run more than once.
	ByMethod Repeat = iota
	// Never means that a request must run at most once.
	Never
	// Always means that a request may run any number of times.
	Always
)

var repeatNames = []string{"method", "no", "yes"}

// MarshalText returns the text for a row's cell.
func (r Repeat) MarshalText() ([]byte, error) { return []byte(repeatNames[r]), nil }

// UnmarshalText parses "method", "no" or "yes"; it fails with BadRow for any other text.
func (r *Repeat) UnmarshalText(text []byte) error {
	i, err := indexOf(repeatNames, string(text))
	*r = Repeat(i) //nolint:gosec // the index of one of three names
	return err
}

// YesNo is a boolean with the text form "no" or "yes"; the zero value is "no".
type YesNo bool

// yesNoNames holds the text forms of false and true.
var yesNoNames = []string{"no", "yes"}

// MarshalText returns the text for a row's cell.
func (y YesNo) MarshalText() ([]byte, error) {
	if y {
		return []byte(yesNoNames[1]), nil
	}
	return []byte(yesNoNames[0]), nil
}

// UnmarshalText parses "no" or "yes"; it fails with BadRow for any other text.
func (y *YesNo) UnmarshalText(text []byte) error {
	i, err := indexOf(yesNoNames, string(text))
	*y = i == 1
	return err
}

// Names is a list of names separated by commas, in the given order.
type Names string

// NamesOf joins a list of names.
func NamesOf(list []string) Names { return Names(strings.Join(list, ",")) }

// List returns the names.
func (n Names) List() []string {
	if n == "" {
		return nil
	}
	return strings.Split(string(n), ",")
}

// Moment is a point in time in milliseconds since 1970; zero means not set.
type Moment int64

// MomentOf converts a time.
func MomentOf(t time.Time) Moment { return Moment(t.UnixMilli()) }

// Time returns the point in time.
func (m Moment) Time() time.Time { return time.UnixMilli(int64(m)) }

// MarshalText returns the time in the format of RFC 3339, or no text if it is not set.
func (m Moment) MarshalText() ([]byte, error) {
	if m == 0 {
		return nil, nil
	}
	return m.Time().UTC().AppendFormat(nil, time.RFC3339Nano), nil
}

// UnmarshalText parses a time in the format of RFC 3339, or no text; it fails with BadRow for any other text.
func (m *Moment) UnmarshalText(text []byte) error {
	*m = 0
	if len(text) == 0 {
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, string(text))
	if err != nil {
		return fault.New(fault.BadRow, "", "want a time by RFC 3339")
	}
	*m = MomentOf(t)
	return nil
}

func indexOf(names []string, text string) (int, error) {
	for i, name := range names {
		if name == text {
			return i, nil
		}
	}
	return 0, fault.New(fault.BadRow, "", "want one of "+strings.Join(names, ", "))
}

// Split says how a route's requests are distributed among services by weight. It is empty if all go to one service. It is
// immutable.
type Split struct {
	parts []Part
}

// Part is the share of one service in a Split.
type Part struct {
	// Service is the key of the service's row.
	Service string
	// Weight is the service's share relative to the other parts.
	Weight float64
}

// NewSplit returns a split of the given parts.
func NewSplit(parts ...Part) Split { return Split{parts: slices.Clone(parts)} }

// Parts returns the parts; the caller must not modify them.
func (s Split) Parts() []Part { return s.parts }

// MarshalText returns the parts in a form such as "a=90,b=10".
func (s Split) MarshalText() ([]byte, error) {
	var b []byte
	for i, p := range s.parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, p.Service...)
		b = append(b, '=')
		b = strconv.AppendFloat(b, p.Weight, 'g', -1, 64)
	}
	return b, nil
}

// UnmarshalText parses parts such as "a=90,b=10", or no text; it fails with BadRow for any other text and if all
// weights are zero.
func (s *Split) UnmarshalText(text []byte) error {
	s.parts = nil
	if len(text) == 0 {
		return nil
	}
	sum := 0.0
	for part := range strings.SplitSeq(string(text), ",") {
		name, number, ok := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(number, 64)
		if !ok || name == "" || err != nil || !(weight >= 0 && weight <= maxRate) {
			return fault.New(fault.BadRow, "", "want services by weight, such as a=90,b=10")
		}
		sum += weight
		s.parts = append(s.parts, Part{Service: name, Weight: weight})
	}
	if sum == 0 {
		return fault.New(fault.BadRow, "", "want some weight above 0")
	}
	return nil
}
