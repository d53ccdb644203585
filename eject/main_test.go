package eject

import (
	"testing"

	"github.com/lynxplank/lynxplank/seeded"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { seeded.Main(m) }
