package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// downMillis is how long an endpoint is gone that a request has ended, in milliseconds.
	downMillis = 600
	// leastFatal and mostFatal bound the time between two sends of such a request.
	leastFatal, mostFatal = 100 * time.Millisecond, 600 * time.Millisecond
	// fatalKnown is how long after all is healed every node must know what ended endpoints.
	fatalKnown = 3 * time.Second
	// fatalEnds is how many endpoints such a request may end before it is known, and how often it may run after that.
	fatalEnds = 3
	// fatalSends is how often each node is then sent it.
	fatalSends = 4
)

// behaviour is how an endpoint behaves in this run: with fatal requests about, these end it whatever else is wrong with it.
func (r *run) behaviour(how backend.Behaviour) backend.Behaviour {
	if r.cfg.Fatal > 0 {
		how.DownMillis = downMillis
	}
	how.Calls = r.cfg.Nested
	return how
}

// fatalName names a fatal request.
func fatalName(i int) string { return "f" + strconv.Itoa(i) }

// sendFatal sends one fatal request to one node after the other until ctx ends, now and then in many copies at once.
func (r *run) sendFatal(ctx context.Context, i int, targets []string) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)+1)) //nolint:gosec // seeded on purpose
	load := demo.NewFatalLoad(targets)
	for n := 0; ; {
		copies := 1
		if random.IntN(10) == 0 {
			copies = len(targets)
		}
		for range copies {
			go load.SendFatal(fatalName(i), n)
			n++
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leastFatal + time.Duration(random.Int64N(int64(mostFatal-leastFatal)))):
		}
	}
}

// judgeFatal sends each fatal request that has ended endpoints to every node again: hardly any of it may begin to run.
func (r *run) judgeFatal() error {
	if r.cfg.Fatal == 0 {
		return nil
	}
	time.Sleep(fatalKnown)
	targets := make([]string, 0, len(r.fleet.Members))
	for _, m := range r.fleet.Members {
		targets = append(targets, m.Callers)
	}
	load := demo.NewFatalLoad(targets)
	for i := range r.cfg.Fatal {
		before, err := r.fatalRuns(i)
		if err != nil {
			return err
		}
		for n := range fatalSends * len(targets) {
			load.SendFatal(fatalName(i), n)
			time.Sleep(leastFatal)
		}
		after, err := r.fatalRuns(i)
		if err != nil {
			return err
		}
		r.report.Fatal = append(r.report.Fatal, before)
		if before >= fatalEnds && after-before > fatalEnds {
			r.breaks("fatal request %d: begun %d times after it had ended %d endpoints and all was healed", i, after-before, before)
		}
	}
	return nil
}

// fatalRuns counts how often endpoints have begun a fatal request.
func (r *run) fatalRuns(i int) (int, error) {
	sum := 0
	for _, m := range r.fleet.Members {
		runs, err := m.Runs()
		if err != nil {
			return sum, err
		}
		sum += demo.FatalRuns(runs, fatalName(i))
	}
	return sum, nil
}
