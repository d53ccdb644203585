package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// TestWatchSeesEachChangeOnce writes a file several times and checks that Changed reports each change exactly once, and a
// missing file at every call.
func TestWatchSeesEachChangeOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	w := NewWatch(path)
	for i, c := range []struct {
		text string
		want bool
	}{{"node: {id: a}", true}, {"node: {id: a}", false}, {"node: {id: b}", true}, {"", true}, {"", false}} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := w.Changed(); got != c.want {
			t.Errorf("call %d: got changed %v, want %v", i, got, c.want)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, want := w.Changed(), true; got != want {
			t.Errorf("while the file is gone: got changed %v, want %v", got, want)
		}
	}
}
