// Command lynxplank-bench prints the project's measurements, a line each.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/lynxplank/lynxplank/bench"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	if err := bench.Path(*bin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
