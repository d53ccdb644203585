package tablefile

import (
	"bytes"
	"testing"

	"github.com/lynxplank/lynxplank/table"
)

// FuzzYAML reads arbitrary text as declarations, which must return rows or errors and never panic. The rows that it
// reads must be as many when they are written and read back.
func FuzzYAML(f *testing.F) {
	f.Add([]byte("service: {a: {floor: 50%}}"))
	f.Add([]byte("endpoint: {e: {service: a, host: h, hall: x, address: '127.0.0.1:1'}}"))
	f.Add([]byte("service: [a]\nroute: {r: {service: &x y}}\n? {a: b}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		fileRows, err := ReadYAML("in", text)
		if err != nil {
			return
		}
		var rows []table.Row
		for _, l := range fileRows {
			rows = append(rows, l.Row)
		}
		var out bytes.Buffer
		if err := WriteYAML(&out, rows); err != nil {
			t.Fatalf("write: got %v, want none", err)
		}
		reread, err := ReadYAML("reread", out.Bytes())
		if got, want := len(reread), len(fileRows); err != nil || got != want {
			t.Errorf("read back: got %d rows and %v, want %d", got, err, want)
		}
	})
}

// FuzzCSV reads arbitrary text as a sheet, which must return rows or errors and never panic.
func FuzzCSV(f *testing.F) {
	f.Add([]byte("key,floor\na,50%\n"))
	f.Add([]byte("key,version,floor\na,1,\"5\n0%\"\n"))
	f.Add([]byte("key,key\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		fileRows, err := ReadCSV("in", bytes.NewReader(text), table.Sheets[0])
		for _, l := range fileRows {
			if err == nil && l.Key == "" {
				t.Errorf("got a row without a key from %q, want a fault", text)
			}
		}
	})
}
