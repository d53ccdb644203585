// Command lynxplank-bench prints the project's measurements, a line each.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/lynxplank/lynxplank/bench"
	"github.com/lynxplank/lynxplank/httpclient"
)

// scaleSizes are the fleets of the scale measurements, in nodes.
var scaleSizes = []int{10, 50, 100, 200}

// defaultHours keeps the healthy runs to a few minutes on eight cores.
const defaultHours = 1000

// hangingPart is how much shorter the hours of a single endpoint under mixed work are.
const hangingPart = 10

func main() {
	httpclient.Tune()
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", `"path", "fatal", "slow", "decisions", "healthy", "hanging", "curve", "overload" or "scale"; all but the last without it`)
	hours := flag.Float64("hours", defaultHours, "endpoint-hours of the healthy runs")
	flag.Parse()
	for _, p := range parts(*bin, *hours) {
		if *only != p.name && (*only != "" || p.name == scalePart) {
			continue
		}
		if err := p.run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// scalePart is measured only when it is asked for.
const scalePart = "scale"

// part is one group of measurements.
type part struct {
	name string
	run  func(out io.Writer) error
}

// parts lists the measurements in the order in which they are printed.
func parts(bin string, hours float64) []part {
	sure := func(run func(out io.Writer)) func(out io.Writer) error {
		return func(out io.Writer) error {
			run(out)
			return nil
		}
	}
	return []part{
		{"path", func(out io.Writer) error { return bench.Path(bin, out) }},
		{scalePart, func(out io.Writer) error { return bench.Scale(bin, out, scaleSizes) }},
		{"fatal", func(out io.Writer) error { return bench.Fatal(bin, out) }},
		{"slow", func(out io.Writer) error { return bench.Slow(bin, out) }},
		{"decisions", sure(bench.Decisions)},
		{"healthy", sure(func(out io.Writer) { bench.Healthy(out, hours) })},
		{"hanging", sure(func(out io.Writer) { bench.Hanging(out, hours/hangingPart) })},
		{"curve", sure(bench.Curve)},
		{"overload", sure(bench.Overload)},
	}
}
