package registry

import "testing"

// FuzzInstance checks that Instance returns the name and start time that Key was given, and that its results give the
// same key again.
func FuzzInstance(f *testing.F) {
	f.Add("i-1", int64(1780000000000))
	f.Add("i@1", int64(0))
	f.Add("i@01", int64(-4))
	f.Add("@", int64(7))
	f.Fuzz(func(t *testing.T, name string, born int64) {
		gotName, gotBorn := Instance(Key(name, born))
		if born > 0 && (gotName != name || gotBorn != born) {
			t.Errorf("Instance(Key(%q, %d)): got %q, %d", name, born, gotName, gotBorn)
		}
		if Key(gotName, gotBorn) != Key(name, born) {
			t.Errorf("Key of %q, %d: got %q, want %q", gotName, gotBorn, Key(gotName, gotBorn), Key(name, born))
		}
	})
}
