package ratelimit

import (
	"testing"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }
