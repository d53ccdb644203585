package trace

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestLossScripts reads the logs in testdata/losses and prints the losses by cause:
//
//	losses    with the logs in the input
func TestLossScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/losses", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			l := NewLosses()
			if err := l.Read(strings.NewReader(d.Input)); err != nil {
				d.Fatalf(t, "%v", err)
			}
			var out strings.Builder
			if err := l.Print(&out); err != nil {
				d.Fatalf(t, "%v", err)
			}
			return out.String()
		})
	})
}

// TestOverlongLineOfLosses checks that input with a line too long for a log fails, instead of being read in part without an error.
func TestOverlongLineOfLosses(t *testing.T) {
	err := NewLosses().Read(strings.NewReader(strings.Repeat("x", 2*maxLineBytes)))
	if err == nil {
		t.Error("got no error, want one")
	}
}
