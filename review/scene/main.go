// Command scene plays the scripts of the second review: a small deployment of the users' platform on loopback, with the
// project's node as separate processes and stand-ins of the store, the targets and the clients in this process.
package main

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

// cases are the scenes by name; each returns whether the rule was broken.
var cases = map[string]func(s *stage, trouble bool) (broken bool, err error){
	"memory": playMemory,
	"birth":  playBirth,
	"limits": playLimits,
}

func main() {
	name := flag.String("case", "", "the scene: memory, birth or limits")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *record, *trouble))
}

func run(name, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		flag.Usage()
		return exitCannotRun
	}
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
