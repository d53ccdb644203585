package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/backend"
)

var binaries string

// TestMain builds the programs once, with the race detector, to run as processes.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "lynxplank-bin-")
		if err != nil {
			fmt.Println(err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		build := exec.Command("go", "build", "-race", "-o", dir, "../cmd/lynxplankd", "../cmd/lynxplankctl", "../cmd/lynxplank-standin")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Println(string(out))
			return 1
		}
		binaries = dir
		return m.Run()
	}())
}

// TestSeeds does a short run for each line of testdata/seeds; whatever its speed, every promise must be kept.
func TestSeeds(t *testing.T) {
	file, err := os.Open("testdata/seeds")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		var seed uint64
		var members, seconds, rate, fatal, stops, suspensions, rates, silences, calm, hangs, leaves, ahead, scarce int
		if n, err := fmt.Sscan(text, &seed, &members, &seconds, &rate, &fatal, &stops, &suspensions, &rates, &silences, &calm, &hangs, &leaves, &ahead, &scarce); n < 4 {
			t.Fatalf("%q: %v", text, err)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(Config{
				Bin: binaries, Dir: t.TempDir(), Seed: seed, Members: members, Halls: 2,
				Length: time.Duration(seconds) * time.Second, Rate: rate, Fatal: fatal, Stops: stops, Suspensions: suspensions, Rates: rates,
				Silences: silences, Calm: calm > 0, Hangs: hangs, Leaves: leaves, Ahead: ahead, Scarce: scarce,
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Broken) > 0 {
				t.Errorf("broken promises: got %q, want none", report.Broken)
			}
			if got := len(report.Results); got == 0 {
				t.Error("requests: got none, want some")
			}
			if got, want := report.Leavings, leaves/2; got < want {
				t.Errorf("leavings checked: got %d, want at least %d", got, want)
			}
		})
	}
}

// TestPlanRepeats checks that a seed draws the same plan each time, another seed another one, and that every kind comes.
func TestPlanRepeats(t *testing.T) {
	line := func(seed uint64) string {
		return fmt.Sprint(Plan(seed, 5, time.Minute), PlanStops(seed, 5, 10, time.Minute))
	}
	first := line(1)
	if got, want := line(1), first; got != want {
		t.Errorf("the same seed again: got %s, want %s", got, want)
	}
	if first == line(2) {
		t.Error("two seeds: got the same plan, want two")
	}
	plan := Plan(1, 5, 10*time.Minute)
	for _, k := range kinds {
		if !slices.ContainsFunc(plan, func(a Action) bool { return a.Kind == k.kind }) {
			t.Errorf("kind %s: got none in a long plan, want some", k.kind)
		}
	}
}

// TestJudgeFindsDoubled checks that the verdict can fail.
func TestJudgeFindsDoubled(t *testing.T) {
	r := &run{}
	r.report.Results = []demo.Result{{Call: "payment-1", Kind: demo.Payment, Told: "ran", Status: 200, Whole: true, Own: true}}
	r.report.Records = append(r.report.Records, record("payment-1"), record("payment-1"))
	r.judgeRequests()
	if len(r.report.Broken) == 0 {
		t.Error("a payment that two endpoints ran: got no broken promise, want one")
	}
}

// TestLateRunsAreFound checks that the verdict on drains and leavings can fail.
func TestLateRunsAreFound(t *testing.T) {
	acknowledged := time.UnixMilli(10_000)
	for _, c := range []struct {
		began time.Duration
		late  int
	}{
		{-time.Second, 0},
		{drainTime, 0},
		{drainTime + time.Millisecond, 1},
		{mostLate, 0},
	} {
		runs := map[string]backend.Run{"payment-1": {Started: 1, LastMillis: acknowledged.Add(c.began).UnixMilli()}}
		if got, want := len(runsBetween(runs, acknowledged, drainTime, acknowledged.Add(mostLate))), c.late; got != want {
			t.Errorf("request that began %v after the acknowledgement: got %d late, want %d", c.began, got, want)
		}
	}
}

// TestJudgeFindsBrokenCalls checks that the verdict on the endpoints' own calls can fail.
func TestJudgeFindsBrokenCalls(t *testing.T) {
	for _, c := range []struct {
		told   string
		begun  int
		broken bool
	}{
		{told: "ran", begun: 1},
		{told: "unknown", begun: 1},
		{told: "not-run"},
		{told: "ran", begun: 2, broken: true},
		{told: "unknown", begun: 2, broken: true},
		{told: "not-run", begun: 1, broken: true},
	} {
		r := &run{}
		r.report.Records = append(r.report.Records, map[string]backend.Run{"lookup-1.e-1": {Told: c.told}})
		for range c.begun {
			r.report.Records = append(r.report.Records, record("lookup-1.e-1"))
		}
		r.judgeNested()
		if got := len(r.report.Broken) > 0; got != c.broken {
			t.Errorf("told %s and begun %d times: got broken %v, want %v", c.told, c.begun, got, c.broken)
		}
	}
}

// TestJudgeFindsEndedRequests checks that the verdict on requests that gave up a slot can fail.
func TestJudgeFindsEndedRequests(t *testing.T) {
	for _, c := range []struct {
		line   string
		broken bool
	}{
		{line: `{"event":501,"request":"r","code":"deadline_too_short","after":300.5,"slot_yielded_ago":2.5,"stopping":false}`, broken: true},
		{line: `{"event":501,"request":"r","code":"endpoint_hung","after":300,"slot_yielded_ago":0,"stopping":false}`, broken: true},
		{line: `{"event":501,"request":"r","code":"stopping","after":300,"slot_yielded_ago":5000,"stopping":true}`},
		{line: `{"event":501,"request":"r","code":"deadline_exceeded","after":3000,"slot_yielded_ago":2000,"stopping":false}`},
		{line: `{"event":504,"request":"r","after":300,"slot_yielded_ago":200,"stopping":false}`},
		{line: `{"event":501,"request":"r","code":"deadline_too_short","after":300}`},
	} {
		name := filepath.Join(t.TempDir(), "h1.log")
		if err := os.WriteFile(name, []byte(c.line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		r := &run{}
		if err := r.judgeYields(name); err != nil {
			t.Fatal(err)
		}
		if got := len(r.report.Broken) > 0; got != c.broken {
			t.Errorf("%s: got broken %v, want %v", c.line, got, c.broken)
		}
	}
}

func record(call string) map[string]backend.Run {
	return map[string]backend.Run{call: {Started: 1, Finished: 1}}
}
