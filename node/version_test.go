package node

import "testing"

// TestBuildIDIdentifiesProgram guards against logs that do not tell which build wrote them: a test's program records no revision,
// but has a build ID.
func TestBuildIDIdentifiesProgram(t *testing.T) {
	if got := buildID(); len(got) < 10 {
		t.Errorf("got build ID %q, want one", got)
	}
}
