package egress

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run draws the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "10000")
	}
	os.Exit(m.Run())
}
