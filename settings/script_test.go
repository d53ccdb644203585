package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts parses each input of testdata/daemon as a node's settings. The output is all resolved settings ("ok" for the
// command check) or all errors.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/daemon", func(t *testing.T, d *datadriven.TestData) string {
		cfg := DefaultDaemon()
		if err := Parse("in.yaml", []byte(d.Input), &cfg); err != nil {
			return err.Error() + "\n"
		}
		if d.Cmd == "check" {
			return "ok\n"
		}
		text, err := Print(cfg)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return text
	})
}
