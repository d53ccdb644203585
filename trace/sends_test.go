package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSendsScripts reads the logs in testdata/sends and prints the counts of sends to each service's endpoints:
//
//	sends    with the logs in the input
func TestSendsScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/sends", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := NewSends()
			if err := s.Read(strings.NewReader(d.Input)); err != nil {
				d.Fatalf(t, "%v", err)
			}
			var out strings.Builder
			if err := s.Print(&out, 10*time.Second); err != nil {
				d.Fatalf(t, "%v", err)
			}
			return out.String()
		})
	})
}
