// Command lynxplank-soak runs the programs under overlapping faults drawn from seeds and checks what callers, endpoints and
// operators see.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/soak"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	seed := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed; the next runs take the ones after it") //nolint:gosec // a time
	seeds := flag.Int("seeds", 1, "how many runs")
	members := flag.Int("members", 5, "nodes, each with an endpoint")
	halls := flag.Int("halls", 2, "halls")
	length := flag.Duration("length", 15*time.Second, "how long faults begin in each run")
	rate := flag.Int("rate", 150, "requests a second")
	fatal := flag.Int("fatal", 0, "requests that end the endpoints that run them")
	stops := flag.Int("stops", 0, "series of signals that stop nodes, under work that may outlast their grace")
	suspensions := flag.Int("suspensions", 0, "planned stops of nodes whose processes are suspended meanwhile")
	stacks := flag.Bool("stacks", false, "nodes that outlive the grace of a stop write the stacks of their goroutines to their logs (see -keep)")
	rates := flag.Int("rates", 0, "times in which endpoints state how many requests a second they take")
	silences := flag.Int("silences", 0, "times in which open connections go silent without a reset")
	hangs := flag.Int("hangs", 0, "times in which endpoints hang by spells and requests give up their slots")
	leaves := flag.Int("leaves", 0, "times in which endpoints, which announce themselves then, leave around ends of their nodes")
	scarce := flag.Int("scarce", 0, "planned stops of nodes that have a sixth of a processor, beside callers whose kept connections lie idle")
	ahead := flag.Int("ahead", 0, "callers that send lookups ahead on kept connections, whose reads time out while requests are under way")
	steps := flag.Int("steps", 0, "times in which endpoints, which announce themselves then, start again under their names across steps of the time of day, and leave")
	spoils := flag.Int("spoils", 0, "times in which endpoints answer with bytes that have no end")
	limits := flag.Int("limits", 0, "changes of the limits for callers, beside connections that rest")
	configs := flag.Int("configs", 0, "times in which the platform's operators write configurations in quick succession")
	onPlatform := flag.Bool("platform", false, "the nodes have the settings of the users' platform")
	race := flag.Bool("race", false, "the programs have the race detector, and need more memory")
	calm := flag.Bool("calm", false, "without the faults that come in every run")
	nested := flag.Bool("nested", false, "endpoints make a call through their nodes for each request")
	keep := flag.String("keep", "", "folder for logs and settings of the runs; empty for none")
	flag.Parse()
	broken := 0
	for i := range *seeds {
		cfg := soak.Config{
			Bin: *bin, Seed: *seed + uint64(i), Members: *members, Halls: *halls, Length: *length, Rate: *rate,
			Fatal: *fatal, Stops: *stops, Suspensions: *suspensions, Rates: *rates, Nested: *nested,
			Stacks: *stacks, Silences: *silences, Hangs: *hangs, Leaves: *leaves, Ahead: *ahead, Scarce: *scarce, Calm: *calm,
			Steps: *steps, Spoils: *spoils, Limits: *limits, Race: *race, Configs: *configs, Platform: *onPlatform,
		}
		if !one(cfg, *keep, os.Stdout) {
			broken++
		}
	}
	fmt.Printf("%d runs, %d with a broken promise\n", *seeds, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// one does one run, tells what it showed, and returns whether every promise was kept.
func one(cfg soak.Config, keep string, out io.Writer) bool {
	dir, err := folder(keep, cfg.Seed)
	if err != nil {
		fmt.Fprintln(out, err)
		return false
	}
	if keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	cfg.Dir = dir
	report, err := soak.Run(cfg)
	if err != nil {
		fmt.Fprintf(out, "seed %d: the run could not be done: %v\n", cfg.Seed, err)
		return false
	}
	fmt.Fprintf(out, "seed %d: %d actions, %d drains, %d rows and %d rates checked\n", cfg.Seed, len(report.Plan), report.Drains, report.Changes, report.Rates)
	demo.Print(out, demo.Check(report.Results, report.Records))
	printCounts(out, cfg, report)
	for _, line := range report.Broken {
		fmt.Fprintln(out, "BROKEN", line)
	}
	if len(report.Broken) > 0 {
		for _, a := range report.Plan {
			fmt.Fprintln(out, a)
		}
		for _, line := range report.Stops {
			fmt.Fprintln(out, "stop of", line)
		}
	}
	return len(report.Broken) == 0
}

// printCounts prints what was checked by the kinds of actions that the run had.
func printCounts(out io.Writer, cfg soak.Config, report soak.Report) {
	nested := 0
	if cfg.Nested {
		nested = 1
	}
	for _, c := range []struct {
		actions int
		line    string
		value   any
	}{
		{cfg.Silences, "nodes on which a change was looked for at a silence", report.Silences},
		{cfg.Hangs, "requests that gave up a slot", report.Yielded},
		{cfg.Spoils, "most memory of a node in MB", report.MostResident},
		{cfg.Configs, "nodes on which a configuration was looked for", report.Configs},
		{cfg.Limits, "requests within changing limits", report.Sized},
		{cfg.Leaves + cfg.Steps, "leavings checked", report.Leavings},
		{cfg.Leaves + cfg.Steps, "late heartbeats after them", report.Late},
		{nested, "nested calls", report.Nested},
		{cfg.Fatal, "fatal requests begun", report.Fatal},
	} {
		if c.actions > 0 {
			fmt.Fprintf(out, "%s: %+v\n", c.line, c.value)
		}
	}
}

// folder returns a run's folder, one of its own for each seed.
func folder(keep string, seed uint64) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "lynxplank-soak-")
	}
	dir := filepath.Join(keep, strconv.FormatUint(seed, 10))
	return dir, os.MkdirAll(dir, 0o750)
}
