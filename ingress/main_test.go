package ingress

import (
	"os"
	"testing"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests. A process that a benchmark has started plays its part instead.
func TestMain(m *testing.M) {
	if part := os.Getenv(benchPart); part != "" {
		playPart(part)
		return
	}
	testseed.Main(m)
}
