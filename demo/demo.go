package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	size        = 5
	halls       = 2
	rate        = 200
	service     = "booking-desk"
	normalWork  = 4
	calm        = 2 * time.Second
	leaveLimit  = 3 * time.Second
	inForceMost = 3 * time.Second
)

// Run runs the demo with the binaries of bin and tells on out what happened; it fails when a promise was broken.
func Run(bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "lynxplank-demo-")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "temporary directory", "cannot be made")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := NewFleet(bin, dir, size, halls, "")
	if err != nil {
		return err
	}
	defer f.Close()
	how := backend.Behaviour{WorkMillis: normalWork}
	if err := f.Start(service, how, "floor: 50%, false_ejections: 1"); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d nodes in %d halls, one endpoint beside each, %d requests a second\n", size, halls, rate)
	targets := make([]string, 0, size)
	for _, m := range f.Members {
		targets = append(targets, m.Callers)
	}
	load := NewLoad(targets)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { load.Run(ctx, rate) })
	storyErr := story(f, out)
	cancel()
	wg.Wait()
	if storyErr != nil {
		return storyErr
	}
	return verdict(f, load, out)
}

func verdict(f *Fleet, load *Load, out io.Writer) error {
	records := make([]map[string]backend.Run, 0, size)
	for _, m := range f.Members {
		runs, err := m.Runs()
		if err != nil {
			return err
		}
		records = append(records, runs)
	}
	for reason, n := range Reasons(load.Results()) {
		fmt.Fprintf(out, "told %s: %d\n", reason, n)
	}
	if !Print(out, Check(load.Results(), records)) {
		return fault.New(fault.Internal, "demo", "a promise was broken")
	}
	return nil
}

// story lets the fleet fail in several ways, one after the other, under load.
func story(f *Fleet, out io.Writer) error {
	time.Sleep(calm)
	steps := []func(*Fleet, io.Writer) error{endEndpoints, turnGray, drainOne, stopOne, changeRow, killOne}
	for _, step := range steps {
		if err := step(f, out); err != nil {
			return err
		}
		time.Sleep(calm)
	}
	return nil
}

func turnGray(f *Fleet, out io.Writer) error {
	m := f.Members[0]
	gray := backend.Behaviour{WorkMillis: normalWork, FailPercent: 50}
	start := time.Now()
	if err := m.Behave(gray); err != nil {
		return err
	}
	err := waitFor(m.Key()+" ejected", func() bool { return f.ejectedEverywhere(m.Key()) })
	fmt.Fprintf(out, "endpoint %s fails half its work, its probes succeed: ejected by every node after %s\n",
		m.Key(), time.Since(start).Round(time.Millisecond))
	return err
}

// idleMillis is how long a node must have given an endpoint nothing for it to count as keeping work from it.
const idleMillis = 500

// ejectedEverywhere tells whether every node that has given an endpoint work keeps ordinary work from it; the nodes of
// other halls have no need of it while their own have room.
func (f *Fleet) ejectedEverywhere(key string) bool {
	seen := 0
	for _, m := range f.Members {
		var list []director.Explanation
		if !m.Running() || get(m.Operators+operator.PathExplain+"?service="+service, &list) != nil {
			continue
		}
		for _, e := range list {
			if e.Endpoint != key {
				continue
			}
			out := e.Phase == "ejected" || e.Phase == "trickle" || e.Trial
			if !out && e.IdleMillis >= 0 && e.IdleMillis < idleMillis {
				return false
			}
			if out {
				seen++
			}
		}
	}
	return seen > 0
}

func drainOne(f *Fleet, out io.Writer) error {
	m := f.Members[1]
	start := time.Now()
	if _, err := f.Ctl("drain", "endpoint", m.Key()); err != nil {
		return err
	}
	time.Sleep(leaveLimit)
	runs, err := m.Runs()
	if err != nil {
		return err
	}
	last := start
	for _, r := range runs {
		if at := time.UnixMilli(r.LastMillis); at.After(last) {
			last = at
		}
	}
	took := last.Sub(start)
	fmt.Fprintf(out, "endpoint %s drained by its row: last new work after %s\n", m.Key(), took.Round(time.Millisecond))
	if took >= leaveLimit {
		return fault.New(fault.Internal, m.Key(), "a draining endpoint still gets new work")
	}
	return nil
}

func stopOne(f *Fleet, out io.Writer) error {
	m := f.Members[2]
	start := time.Now()
	if err := m.StopNode(); err != nil {
		return err
	}
	fmt.Fprintf(out, "node %s stopped in a planned way: exit 0 after %s\n", m.Host, time.Since(start).Round(time.Millisecond))
	return f.forget(m)
}

func changeRow(f *Fleet, out io.Writer) error {
	if _, err := f.Ctl("set", "service", service, "queue=24"); err != nil {
		return err
	}
	start := time.Now()
	err := waitFor("row in force", func() bool {
		for _, m := range f.Members {
			var row operator.Row
			if !m.Running() {
				continue
			}
			if get(m.Operators+operator.PathRow+"?kind=service&key="+service, &row) != nil || row.Cells["queue"] != "24" {
				return false
			}
		}
		return true
	})
	took := time.Since(start)
	fmt.Fprintf(out, "a cell changed: in force on every node %s after it was accepted\n", took.Round(time.Millisecond))
	if err == nil && took > inForceMost {
		err = fault.New(fault.Internal, service, "the change took too long")
	}
	return err
}

func killOne(f *Fleet, out io.Writer) error {
	m := f.Members[3]
	fmt.Fprintf(out, "node %s killed without notice\n", m.Host)
	if err := m.KillNode(); err != nil {
		return err
	}
	return f.forget(m)
}

// forget waits until the other nodes have taken a member's host out of the list, as they do some time after it is gone.
func (f *Fleet) forget(m *Member) error {
	m.gone = true
	return f.waitHosts()
}
