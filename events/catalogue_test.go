package events

import (
	"os"
	"regexp"
	"strconv"
	"testing"
)

// TestCatalogue checks that docs/EVENTS.md and the code list the same numbers, names and levels, and each number once.
func TestCatalogue(t *testing.T) {
	text, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| (\w+) \| [^|]{10,} \|$`)
	documented := make(map[int]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		n, _ := strconv.Atoi(m[1])
		if _, ok := documented[n]; ok {
			t.Errorf("event %d: appears twice in the catalogue", n)
		}
		documented[n] = m[2] + " " + m[3]
	}
	for _, e := range All {
		if got, want := documented[e.Number], e.Name+" "+e.Level.String(); got != want {
			t.Errorf("event %d: got %q in the catalogue, want %q", e.Number, got, want)
		}
		delete(documented, e.Number)
	}
	for n := range documented {
		t.Errorf("event %d: in the catalogue, but not in the code", n)
	}
}
