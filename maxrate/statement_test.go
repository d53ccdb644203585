package maxrate

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParse reads testdata/statements: the input is the values of the field, one a line in quotes.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/statements", func(_ *testing.T, d *datadriven.TestData) string {
		var values []string
		for line := range strings.Lines(d.Input) {
			values = append(values, strings.Trim(strings.TrimSuffix(line, "\n"), `"`))
		}
		s := Parse(values)
		kind := [...]string{"absent", "stated", "malformed"}[s.Kind]
		if s.Kind == Stated {
			kind += " " + formatRate(s.Rate)
		}
		return kind + "\n"
	})
}

// FuzzStatement checks that no text of the field is a crash, a rate outside its range or a limit that admits no request
// ever again.
func FuzzStatement(f *testing.F) {
	for _, text := range []string{"", "1", "1.9", "-1", "NaN", "Inf", "1e300", "0", "0x10", "1_000", "١", "99999999999999999999999999999999999", "."} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		s := Parse([]string{first, second})
		if s.Kind == Stated && (math.IsNaN(s.Rate) || s.Rate < 0 || s.Rate > maxStatedRate) {
			t.Fatalf("rate: got %v, want 0 to %v", s.Rate, maxStatedRate)
		}
		if strings.TrimSpace(first) != strings.TrimSpace(second) && s.Kind != Malformed {
			t.Fatalf("%q and %q: got %v, want malformed", first, second, s)
		}
		l, now := NewLimiter(Life{}), time.Unix(1000, 0)
		l.Observe(now, now, s)
		if _, _, ok := l.Reserve(now, now.Add(time.Minute), true); !ok {
			t.Fatalf("after %q: no request within a minute", first)
		}
	})
}
