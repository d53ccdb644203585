// Package scene plays the scripts of the second review: a small deployment of the users' platform on loopback, with the
// project's node as separate processes and stand-ins of the store, the targets and the clients in this process.
package scene

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Scene is what a script plays; it returns whether the rule was broken.
type Scene func(s *stage, trouble bool) (broken bool, err error)

// The scenes.
var (
	Memory Scene = playMemory
	Birth  Scene = playBirth
	Limits Scene = playLimits
)

// Main plays a scene with the flags of the command line and ends the process with the exit code of a script.
func Main(play Scene) {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(play, *record, *trouble))
}

func run(play Scene, record string, trouble bool) int {
	s, err := newStage(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	go s.endEarly()
	broken, err := play(s, trouble)
	switch {
	case err != nil:
		s.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case broken:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
