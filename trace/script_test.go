package trace

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts reads the logs in testdata/stories, which nodes wrote, and prints the story of a request:
//
//	trace id=ID    with the log in the input
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/stories", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id string
			d.ScanArgs(t, "id", &id)
			log := NewLog(id)
			if err := log.Read(strings.NewReader(d.Input)); err != nil {
				d.Fatalf(t, "%v", err)
			}
			var out strings.Builder
			if err := log.Story().Print(&out); err != nil {
				d.Fatalf(t, "%v", err)
			}
			// A blank line would end the expected text.
			return strings.ReplaceAll(out.String(), "\n\n", "\n")
		})
	})
}

// TestOverlongLine checks that input with a line too long for a log fails, instead of being read in part without an error.
func TestOverlongLine(t *testing.T) {
	err := NewLog("x").Read(strings.NewReader(strings.Repeat("x", 2*maxLineBytes)))
	if err == nil {
		t.Error("got no error, want one")
	}
}
