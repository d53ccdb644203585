package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	// seed is that of every run that names none.
	seed = "20261202"
	// rapidSeed and rapidChecks are the flags of the property tests, with the values that stand for none given.
	rapidSeed, noSeed     = "rapid.seed", "0"
	rapidChecks, noChecks = "rapid.checks", "100"
)

// Option changes how the tests run.
type Option func()

// Checks has each property drawn n times, unless the command line says how often.
func Checks(n int) Option { return func() { replace(rapidChecks, noChecks, strconv.Itoa(n)) } }

// Main runs the tests and exits with their result; it stands in a package's TestMain.
func Main(m *testing.M, opts ...Option) {
	flag.Parse()
	replace(rapidSeed, noSeed, seed)
	for _, opt := range opts {
		opt()
	}
	os.Exit(m.Run())
}

// replace sets a flag that nobody has set.
func replace(name, unset, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == unset {
		_ = f.Value.Set(value)
	}
}
