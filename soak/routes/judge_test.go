package routes

import (
	"testing"
	"time"
)

// TestJudgeFindsOldConfigurations checks that the verdict can fail: each outcome is that of one request after version 2, by which /a/
// moves from one service to another, /b/ is dropped and /c/ is added, was acknowledged.
func TestJudgeFindsOldConfigurations(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name      string
		outcome   outcome
		disturbed []span
		broken    int
	}{
		{"moved in time", outcome{prefix: "/a/", sent: at(3 * time.Second), service: "new"}, nil, 0},
		{"old service within the limit", outcome{prefix: "/a/", sent: at(applyLimit), service: "old"}, nil, 0},
		{"old service too late", outcome{prefix: "/a/", sent: at(applyLimit + time.Millisecond), service: "old"}, nil, 1},
		{"dropped route too late", outcome{prefix: "/b/", sent: at(applyLimit + time.Millisecond), service: "old"}, nil, 1},
		{"added route refused too late", outcome{prefix: "/c/", sent: at(applyLimit + time.Millisecond)}, nil, 1},
		{"a service that no version allows", outcome{prefix: "/b/", sent: at(0), service: "new"}, nil, 1},
		{"out of touch", outcome{prefix: "/a/", sent: at(3 * time.Second), service: "old"}, []span{{at(0), at(time.Second)}}, 0},
		{"in touch again", outcome{prefix: "/a/", sent: at(5 * time.Second), service: "old"}, []span{{at(0), at(time.Second)}}, 1},
	} {
		j := newJudge(1)
		j.versions = []version{
			{number: 1, sent: at(-time.Hour), acknowledged: at(-time.Hour), services: map[string]string{"/a/": "old", "/b/": "old"}},
			{number: 2, sent: at(-time.Millisecond), acknowledged: at(0), services: map[string]string{"/a/": "new", "/c/": "new"}},
		}
		j.disturbed[0] = c.disturbed
		c.outcome.end = c.outcome.sent.Add(time.Millisecond)
		j.add(c.outcome)
		if got := j.verdict().broken; len(got) != c.broken {
			t.Errorf("%s: got %q, want %d broken", c.name, got, c.broken)
		}
	}
}

// TestJudgeFindsSteps checks that a node which goes back to an older configuration is found, also within the time that a change has.
func TestJudgeFindsSteps(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after  time.Duration
		life   int
		broken int
	}{
		{rollbackLimit / 2, 0, 0},
		{2 * rollbackLimit, 0, 1},
		{2 * rollbackLimit, 1, 0},
	} {
		j := newJudge(1)
		j.versions = []version{
			{number: 1, sent: start.Add(-time.Hour), acknowledged: start.Add(-time.Hour), services: map[string]string{"/a/": "old"}},
			{number: 2, sent: start.Add(-time.Millisecond), acknowledged: start, services: map[string]string{"/a/": "new"}},
		}
		j.add(outcome{prefix: "/a/", sent: start, end: start.Add(time.Millisecond), service: "new"})
		at := start.Add(time.Millisecond + c.after)
		j.add(outcome{prefix: "/a/", life: c.life, sent: at, end: at.Add(time.Millisecond), service: "old"})
		if got := j.verdict().broken; len(got) != c.broken {
			t.Errorf("old service %v after the new one, life %d: got %q, want %d broken", c.after, c.life, got, c.broken)
		}
	}
}
