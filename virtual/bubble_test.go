//go:build !race

package virtual

import (
	"os"
	"os/exec"
	"testing"
	"testing/synctest"
)

// ownProcess is set in the environment of a process that runs one test in virtual time.
const ownProcess = "LYNXPLANK_VIRTUAL_TEST"

// inBubble runs a test in virtual time, in a process of its own: yamux keeps timers for its next sessions, which no other bubble may
// use.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if os.Getenv(ownProcess) != "" {
		synctest.Test(t, f)
		return
	}
	cmd := exec.Command(os.Args[0], append(os.Args[1:], "-test.run=^"+t.Name()+"$")...)
	cmd.Env = append(os.Environ(), ownProcess+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Errorf("%v:\n%s", err, out)
		return
	}
	t.Logf("%s", out)
}
