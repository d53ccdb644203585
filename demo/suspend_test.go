package demo

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// warm sends lookups at the same time, so that each leaves a connection that is kept.
func (s *scenario) warm(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	l, _, first, n := s.load(t, d)
	s.warmed = l
	return summary(l.Send(Lookup, first, n))
}

// closed waits for the requests of hold and counts the connections that were closed without an answer.
func (s *scenario) closed(*testing.T, *datadriven.TestData) string {
	s.held.Wait()
	closes := 0
	for _, r := range s.results {
		closes += len(r.Closes)
	}
	out := fmt.Sprintf("answered %d, closed %d\n", len(s.results)-closes, closes)
	s.results = nil
	return out
}

func (s *scenario) signal(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	must(t, d, s.member(t, d).Signal(syscall.SIGTERM))
	return ""
}

func (s *scenario) ended(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	ended, err := s.member(t, d).Ended(time.Minute)
	if !ended || err != nil {
		return fmt.Sprintf("ended %v: %v\n", ended, err)
	}
	return "exit 0\n"
}

func (s *scenario) pause(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	length, err := time.ParseDuration(word(t, d, "for", "0s"))
	must(t, d, err)
	time.Sleep(length)
	return ""
}
