package table

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// Duration is a time span written with its unit, such as "250ms".
type Duration time.Duration

// MarshalText writes the span with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a span of zero or more, BadRow for anything else.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fault.New(fault.BadRow, "", `want a time span with a unit, such as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// Percent is a share from 0 to 1, written as "60%".
type Percent float64

const percentScale = 100

// MarshalText writes the share in per cent.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(p)*percentScale, 'g', 6, 64) + "%"), nil
}

// UnmarshalText reads a share from "0%" to "100%", BadRow for anything else.
func (p *Percent) UnmarshalText(text []byte) error {
	digits, ok := strings.CutSuffix(string(text), "%")
	v, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(v >= 0 && v <= percentScale) {
		return fault.New(fault.BadRow, "", `want a share from "0%" to "100%"`)
	}
	*p = Percent(v / percentScale)
	return nil
}

// Count is a whole number of zero or more.
type Count uint32

// MarshalText writes the number in decimal.
func (c Count) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(c), 10), nil
}

// UnmarshalText reads a whole number up to 4294967295, BadRow for anything else.
func (c *Count) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return fault.New(fault.BadRow, "", "want a whole number of 0 or more")
	}
	*c = Count(v)
	return nil
}

// Rate is a number of zero or more that may have a fraction, such as "0.05" a day or "250" a second.
type Rate float64

const maxRate = 1e9

// MarshalText writes the number in the shortest form.
func (r Rate) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(r), 'g', -1, 64), nil
}

// UnmarshalText reads a number from 0 to 1e9, BadRow for anything else.
func (r *Rate) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 0 && v <= maxRate) {
		return fault.New(fault.BadRow, "", "want a number of 0 or more")
	}
	*r = Rate(v)
	return nil
}

// Phase says whether an endpoint or host takes new work.
type Phase uint8

// The phases, in the order of a life.
const (
	// Active takes new work.
	Active Phase = iota
	// Draining takes nothing new and finishes what is in flight.
	Draining
	// Retired takes nothing and is about to be removed.
	Retired
)

var phaseNames = []string{"active", "draining", "retired"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// MarshalText writes the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase's name, BadRow for any other word.
func (p *Phase) UnmarshalText(text []byte) error {
	i, err := indexOf(phaseNames, string(text))
	*p = Phase(i) //nolint:gosec // an index of three names
	return err
}

// Repeat says whether a request may run more than once.
type Repeat uint8

// The ways to tell whether a request may run more than once.
const (
	// ByMethod takes the method's semantics: GET, HEAD, OPTIONS and TRACE may repeat.
	ByMethod Repeat = iota
	// Never marks a request that must run at most once.
	Never
	// Always marks a request that may run any number of times.
	Always
)

var repeatNames = []string{"method", "no", "yes"}

// MarshalText writes the word for the row's cell.
func (r Repeat) MarshalText() ([]byte, error) { return []byte(repeatNames[r]), nil }

// UnmarshalText reads "method", "no" or "yes", BadRow for any other word.
func (r *Repeat) UnmarshalText(text []byte) error {
	i, err := indexOf(repeatNames, string(text))
	*r = Repeat(i) //nolint:gosec // an index of three names
	return err
}

// YesNo is a choice that is off unless a row turns it on.
type YesNo bool

// noYes are the words of the choice.
var noYes = []string{"no", "yes"}

// MarshalText writes the word for the row's cell.
func (y YesNo) MarshalText() ([]byte, error) {
	if y {
		return []byte(noYes[1]), nil
	}
	return []byte(noYes[0]), nil
}

// UnmarshalText reads "no" or "yes", BadRow for any other word.
func (y *YesNo) UnmarshalText(text []byte) error {
	i, err := indexOf(noYes, string(text))
	*y = i == 1
	return err
}

// Names are names with commas between them, in the order in which they came.
type Names string

// NamesOf returns a list as a value.
func NamesOf(list []string) Names { return Names(strings.Join(list, ",")) }

// List returns the names.
func (n Names) List() []string {
	if n == "" {
		return nil
	}
	return strings.Split(string(n), ",")
}

// Moment is a time of day to the millisecond, the zero value for none.
type Moment int64

// MomentOf returns a time as a value.
func MomentOf(t time.Time) Moment { return Moment(t.UnixMilli()) }

// Time returns the time of day.
func (m Moment) Time() time.Time { return time.UnixMilli(int64(m)) }

// MarshalText writes the time by RFC 3339, nothing for none.
func (m Moment) MarshalText() ([]byte, error) {
	if m == 0 {
		return nil, nil
	}
	return m.Time().UTC().AppendFormat(nil, time.RFC3339Nano), nil
}

// UnmarshalText reads a time by RFC 3339, BadRow for anything else.
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

func indexOf(names []string, word string) (int, error) {
	for i, name := range names {
		if name == word {
			return i, nil
		}
	}
	return 0, fault.New(fault.BadRow, "", "want one of "+strings.Join(names, ", "))
}

// Split shares a route's requests among services by weight; empty for one service. It is immutable.
type Split struct {
	parts []Part
}

// Part is one service's share of a split.
type Part struct {
	// Service is the key of the service's row.
	Service string
	// Weight is its share relative to the other parts.
	Weight float64
}

// NewSplit returns a split of the given parts.
func NewSplit(parts ...Part) Split { return Split{parts: slices.Clone(parts)} }

// Parts returns the parts; the caller must not change them.
func (s Split) Parts() []Part { return s.parts }

// MarshalText writes the parts as "a=90,b=10".
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

// UnmarshalText reads "a=90,b=10", BadRow unless some weight is above zero.
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
