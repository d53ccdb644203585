package fleet

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit is when a case that has not ended is given up.
const caseLimit = 112 * time.Second

// Run is what a case does with a running fleet. It returns whether the rule was broken.
type Run func(f *Fleet, r *Record, trouble bool) (broken bool, err error)

// Main runs a case with machines at the given places and ends the program: with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 in the environment the case goes without its disruption.
func Main(places []Place, run Run) {
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*root, *record, places, run))
}

func runCase(root, recordPath string, places []Place, run Run) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := NewRecord(recordPath)
	if err != nil {
		return fail(err)
	}
	defer r.Close()
	f, err := New(root, dir, places)
	if err != nil {
		return fail(err)
	}
	defer f.Stop()
	ended := make(chan int, 1)
	go func() {
		trouble := os.Getenv("TROUBLE") != "0"
		r.Say("trouble: %v", trouble)
		broken, err := run(f, r, trouble)
		switch {
		case err != nil:
			ended <- fail(err)
		case broken:
			r.Say("the rule was broken")
			ended <- exitBroken
		default:
			r.Say("the rule held")
			ended <- exitHeld
		}
	}()
	return await(ended)
}

// await returns the case's exit code, or that of a case that could not run if it is interrupted or takes too long.
func await(ended <-chan int) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case code := <-ended:
		return code
	case <-signals:
	case <-time.After(caseLimit):
	}
	fmt.Fprintln(os.Stderr, "the case was given up")
	return exitFailed
}
