package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts reads each input of testdata as a node's settings and prints them whole, or every fault.
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
