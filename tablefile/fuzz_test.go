package tablefile

import (
	"bytes"
	"testing"

	"github.com/lynxplank/lynxplank/table"
)

// FuzzYAML checks that ReadYAML returns rows or an error for arbitrary text but never panics, and that the rows can be
// written and read back without losing any.
func FuzzYAML(f *testing.F) {
	f.Add([]byte("service: {a: {floor: 50%}}"))
	f.Add([]byte("endpoint: {e: {service: a, host: h, hall: x, address: '127.0.0.1:1'}}"))
	f.Add([]byte("service: [a]\nroute: {r: {service: &x y}}\n? {a: b}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := ReadYAML("in", text)
		if err != nil {
			return
		}
		var rows []table.Row
		for _, l := range lines {
			rows = append(rows, l.Row)
		}
		var out bytes.Buffer
		if err := WriteYAML(&out, rows); err != nil {
			t.Fatalf("write: got %v, want none", err)
		}
		again, err := ReadYAML("again", out.Bytes())
		if got, want := len(again), len(lines); err != nil || got != want {
			t.Errorf("read back: got %d rows and %v, want %d", got, err, want)
		}
	})
}

// FuzzCSV checks that ReadCSV returns rows with keys, or an error, for arbitrary text but never panics.
func FuzzCSV(f *testing.F) {
	f.Add([]byte("key,floor\na,50%\n"))
	f.Add([]byte("key,version,floor\na,1,\"5\n0%\"\n"))
	f.Add([]byte("key,key\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := ReadCSV("in", bytes.NewReader(text), table.Sheets[0])
		for _, l := range lines {
			if err == nil && l.Key == "" {
				t.Errorf("got a row without a key from %q, want an error", text)
			}
		}
	})
}
