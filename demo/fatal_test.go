package demo

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// fatalPause is the time between two sends of a fatal request.
const fatalPause = 100 * time.Millisecond

func (s *scenario) fatal(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	const allowed = 3
	name := word(t, d, "name", "")
	how := s.how
	how.DownMillis = number(t, d, "down", 500)
	for _, m := range s.fleet.Members {
		must(t, d, m.Behave(how))
	}
	l := NewFatalLoad(s.targets())
	again := func() {
		l.SendFatal(name, s.sent)
		s.sent++
		time.Sleep(fatalPause)
	}
	for end := time.Now().Add(waitLimit); s.fatalRuns(t, d, name) < number(t, d, "ends", 0); again() {
		if time.Now().After(end) {
			d.Fatalf(t, "ends: got %d within %v", s.fatalRuns(t, d, name), waitLimit)
		}
	}
	length, err := time.ParseDuration(word(t, d, "for", "0s"))
	must(t, d, err)
	for end := time.Now().Add(length); time.Now().Before(end); {
		again()
	}
	before := s.fatalRuns(t, d, name)
	for range number(t, d, "n", 0) {
		again()
	}
	if got := s.fatalRuns(t, d, name) - before; got > allowed {
		return fmt.Sprintf("begun %d times, want %d at most\n", got, allowed)
	}
	return ""
}

// arrival has a fatal request come once: its own sends must not end as many endpoints as bar it.
func (s *scenario) arrival(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	const allowed = 2
	name := word(t, d, "name", "")
	how := s.how
	how.DownMillis = number(t, d, "down", 500)
	for _, m := range s.fleet.Members {
		must(t, d, m.Behave(how))
	}
	NewFatalLoad(s.targets()).SendFatal(name, s.sent)
	s.sent++
	if got := s.fatalRuns(t, d, name); got > allowed {
		return fmt.Sprintf("begun %d times, want %d at most\n", got, allowed)
	}
	return ""
}

func (s *scenario) lift(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	text, err := s.fleet.Ctl("fatal", "-o", "json")
	must(t, d, err)
	var list []struct {
		Content string `json:"content"`
		Barred  bool   `json:"barred"`
	}
	must(t, d, json.Unmarshal([]byte(text), &list))
	lifted := 0
	for _, r := range list {
		if r.Barred {
			_, err := s.fleet.Ctl("fatal", "lift", r.Content)
			must(t, d, err)
			lifted++
		}
	}
	return fmt.Sprintf("lifted %d\n", lifted)
}

// fatalRuns counts how often endpoints have begun a fatal request.
func (s *scenario) fatalRuns(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	sum := 0
	for _, m := range s.fleet.Members {
		runs, err := m.Runs()
		must(t, d, err)
		sum += FatalRuns(runs, name)
	}
	return sum
}
