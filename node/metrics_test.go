package node_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/standin/backend"
)

var (
	exposedName    = regexp.MustCompile(`(?m)^# TYPE (lynxplank_\w+) `)
	documentedName = regexp.MustCompile("`(lynxplank_\\w+)`")
)

// TestMetricsCatalogue checks docs/METRICS.md against the metrics that a node exposes: after some requests and a sample of
// every component, each exposed name is documented, and each documented name is exposed.
func TestMetricsCatalogue(t *testing.T) {
	f := start(t, `
service: {desk: {}}
endpoint: {e1: {service: desk, host: h1, hall: hall-1, address: "ENDPOINT", slots: 1}}
route: {all: {service: desk, repeatable: "yes"}}
customer: {limited: {limit: 0.01}}
`)
	defer f.stop(t)
	text, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	want := namesIn(documentedName, string(text))
	// A failing endpoint causes a retry, so that the retry metrics are exposed too.
	f.backend.Set(backend.Behaviour{WorkMillis: 1, FailPercent: 100})
	resp, err := http.Get("http://" + f.callers + "/")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	f.requestBeyondLimit(t)
	var got []string
	for range 600 {
		got = namesIn(exposedName, f.metrics(t))
		if slices.Equal(got, want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("names: got %q, want %q", got, want)
}

// requestBeyondLimit sends a request of a customer whose limit is so low that the request is refused: its bucket starts empty and
// fills only with time.
func (f *fixture) requestBeyondLimit(t *testing.T) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.callers+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(header.Customer, "limited")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusTooManyRequests; got != want {
		t.Errorf("beyond the limit: got %d, want %d", got, want)
	}
}

func namesIn(name *regexp.Regexp, text string) []string {
	var names []string
	for _, m := range name.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (f *fixture) metrics(t *testing.T) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.operator+operator.PathMetrics, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
