package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// demoDown is how long an endpoint is gone that a request has ended, in milliseconds; demoSends is how often that request comes,
	// demoPause the time in between.
	demoDown  = 300
	demoSends = 20
	demoPause = 150 * time.Millisecond
	// mostEnds is how many endpoints it may end: three, and one by a send that began before the third end was known.
	mostEnds = 4
)

// endEndpoints has a request come again and again that ends each endpoint that runs it.
func endEndpoints(f *Fleet, out io.Writer) error {
	targets := make([]string, 0, len(f.Members))
	for _, m := range f.Members {
		targets = append(targets, m.Callers)
		if err := m.Behave(backend.Behaviour{WorkMillis: normalWork, DownMillis: demoDown}); err != nil {
			return err
		}
	}
	load := NewFatalLoad(targets)
	refused := 0
	for n := range demoSends {
		if r := load.SendFatal("demo", n); r.Code == string(fault.FatalRequest) {
			refused++
		}
		time.Sleep(demoPause)
	}
	begun := 0
	for _, m := range f.Members {
		runs, err := m.Runs()
		if err != nil {
			return err
		}
		begun += FatalRuns(runs, "demo")
	}
	fmt.Fprintf(out, "a request ends each endpoint that runs it, and comes %d times at every node in turn: begun %d times, refused at once %d times\n",
		demoSends, begun, refused)
	if begun > mostEnds {
		return fault.New(fault.Internal, "demo", "a request that ends endpoints was not kept from them")
	}
	return nil
}
