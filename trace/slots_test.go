package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSlotsScripts reads the logs in testdata/slots and prints the mean slots by state, and guards against slot time that is
// lost between windows or nodes:
//
//	slots window=2s    with the logs in the input
func TestSlotsScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/slots", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := NewSlots(scanWindow(t, d))
			if err := s.Read(strings.NewReader(d.Input)); err != nil {
				d.Fatalf(t, "%v", err)
			}
			var out strings.Builder
			if err := s.Print(&out); err != nil {
				d.Fatalf(t, "%v", err)
			}
			return out.String()
		})
	})
}

func scanWindow(t *testing.T, d *datadriven.TestData) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, "window", &text)
	window, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return window
}
