package liveness

import (
	"testing"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain sets the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }
