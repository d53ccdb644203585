// Command lynxplank-bench prints the project's measurements, a line each.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/lynxplank/lynxplank/bench"
	"github.com/lynxplank/lynxplank/outbound"
)

// scaleSizes are the fleets of the scale measurements, in nodes.
var scaleSizes = []int{10, 50, 100, 200}

// defaultHours keeps the healthy runs to a few minutes on eight cores.
const defaultHours = 1000

func main() {
	outbound.Tune()
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", `"path", "decisions", "healthy", "curve", "overload" or "scale"; all but the last without it`)
	hours := flag.Float64("hours", defaultHours, "endpoint-hours of the healthy runs")
	flag.Parse()
	if *only == "" || *only == "path" {
		if err := bench.Path(*bin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if *only == "scale" {
		if err := bench.Scale(*bin, os.Stdout, scaleSizes); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if *only == "" || *only == "decisions" {
		bench.Decisions(os.Stdout)
	}
	if *only == "" || *only == "healthy" {
		bench.Healthy(os.Stdout, *hours)
	}
	if *only == "" || *only == "curve" {
		bench.Curve(os.Stdout)
	}
	if *only == "" || *only == "overload" {
		bench.Overload(os.Stdout)
	}
}
