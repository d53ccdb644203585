package demo

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// servedShare is the share of a load that counts as all of it, in percent.
	servedShare = 99
)

func (s *scenario) runLoad(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	lasts, err := time.ParseDuration(word(t, d, "for", "1s"))
	must(t, d, err)
	l, _, _, _ := s.load(t, d)
	l.Mark = d.Pos + "-"
	ctx, cancel := context.WithTimeout(t.Context(), lasts)
	defer cancel()
	l.Run(ctx, number(t, d, "rate", 1))
	served := 0
	for _, r := range l.Results() {
		if r.Told == "ran" {
			served++
		}
	}
	if d.HasArg("least") {
		return refusedByRate(l.Results(), served, number(t, d, "least", 0))
	}
	if all := len(l.Results()); served*percent < all*servedShare {
		return fmt.Sprintf("%d of %d served\n", served, all) + summary(l.Results())
	}
	return "served\n"
}

// refusedByRate tells whether at least so many requests were served, and all others refused as not run, with a time to
// come back, because of what the endpoints state.
func refusedByRate(results []Result, served, least int) string {
	refused := 0
	for _, r := range results {
		if r.Told == "not-run" && r.Code == string(fault.MaxRate) && r.ComesBack {
			refused++
		}
	}
	if served < least || served+refused < len(results) {
		return summary(results)
	}
	return "served or refused\n"
}

// percent is a hundred of them.
const percent = 100

func (s *scenario) kept(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	m := s.member(t, d)
	arrivals, err := m.Arrivals()
	must(t, d, err)
	rate, err := strconv.ParseFloat(word(t, d, "rate", ""), 64)
	must(t, d, err)
	got, allowed := MostArrivals(arrivals, s.ratesStatedAt[m.Host].Add(RateBindsAfter)), MaxArrivals(rate)
	if got > allowed {
		return fmt.Sprintf("%d in %v, %d allowed\n", got, RateWindow, allowed)
	}
	return "kept\n"
}
