package subset

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
	os.Exit(m.Run())
}
