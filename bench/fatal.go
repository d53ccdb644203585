package bench

import (
	"context"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// fatalNodes is the size of the fleet that meets a request that ends endpoints, fatalEvery the time between its copies, which
	// come for fatalTime at each node in turn beside plainRate other requests a second.
	fatalNodes = 12
	fatalEvery = 250 * time.Millisecond
	fatalTime  = 30 * time.Second
	plainRate  = 80
	// fatalWork and fatalDown are how long an endpoint works at it and is gone then, in milliseconds.
	fatalWork = 60
	fatalDown = 3000
	// fatalEnds is how many endpoints it may end before it is known, fatalKnown within what time all must know it then.
	fatalEnds  = 3
	fatalKnown = 3 * time.Second
)

// Fatal measures what one request that ends every endpoint that runs it costs a fleet of processes, and what is served without it.
func Fatal(bin string, out io.Writer) error {
	for _, down := range []int{0, fatalDown} {
		if err := fatalOf(bin, out, down); err != nil {
			return err
		}
	}
	return nil
}

// fatalOf runs one fleet; with down 0 the same request ends no endpoint.
func fatalOf(bin string, out io.Writer, down int) error {
	dir, err := os.MkdirTemp("", "lynxplank-bench-")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "temporary directory", "cannot be made")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := demo.NewFleet(bin, dir, fatalNodes, 2, "log: {level: warn}\n")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start("bench", backend.Behaviour{WorkMillis: fatalWork, DownMillis: down}, "floor: 50%"); err != nil {
		return err
	}
	var targets []string
	for _, m := range f.Members {
		targets = append(targets, m.Callers)
	}
	plain, fatal := demo.NewLoad(targets), demo.NewFatalLoad(targets)
	ctx, cancel := context.WithTimeout(context.Background(), fatalTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { plain.Run(ctx, plainRate) })
	tick := time.NewTicker(fatalEvery)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() { fatal.SendFatal("bench", n) })
		<-tick.C
	}
	wg.Wait()
	return tellFatal(f, plain, out, down)
}

func tellFatal(f *demo.Fleet, plain *demo.Load, out io.Writer, down int) error {
	served := 0
	for _, r := range plain.Results() {
		if r.Told == "ran" && r.Status == 200 && r.Whole {
			served++
		}
	}
	share := float64(served) / float64(len(plain.Results()))
	if down == 0 {
		measure(out, "fatal_plain_served_without", share, "share")
		return nil
	}
	measure(out, "fatal_plain_served_with", share, "share")
	var begun []time.Time
	for _, m := range f.Members {
		runs, err := m.Runs()
		if err != nil {
			return err
		}
		begun = append(begun, demo.FatalBegun(runs, "bench")...)
	}
	slices.SortFunc(begun, time.Time.Compare)
	late := 0
	for i, at := range begun {
		if i >= fatalEnds && at.After(begun[fatalEnds-1].Add(fatalWork*time.Millisecond+fatalKnown)) {
			late++
		}
	}
	measure(out, "fatal_begun", float64(len(begun)), "runs")
	measure(out, "fatal_begun_late", float64(late), "runs")
	return nil
}
