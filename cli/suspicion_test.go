package cli

import (
	"testing"

	"github.com/lynxplank/lynxplank/director"
)

// TestSuspicion checks what explain shows of a suspect: a peer without the setting reports no chance, which must not read
// as a chance of 0.
func TestSuspicion(t *testing.T) {
	chance, room := 0.345, 2
	for _, c := range []struct {
		name        string
		explanation director.Explanation
		want        string
	}{
		{"closed", director.Explanation{}, "-"},
		{"no report", director.Explanation{Trial: true}, "trials only"},
		{"report", director.Explanation{Trial: true, SuccessChance: &chance, TrialRoom: &room}, "chance 0.34, room 2"},
	} {
		if got := suspicion(c.explanation); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
