package egress

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/table"
)

// TestUnreadFieldsAreLoggedOnce has an endpoint send fields that no code reads: each name is logged once, without its
// value, and their number is bounded.
func TestUnreadFieldsAreLoggedOnce(t *testing.T) {
	var calls int
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set("X-Endpoint-Says", "something")
		w.Header().Set("Cache-Control", "no-store")
		if calls > 1 {
			for i := range 100 {
				w.Header().Set("X-Many-"+strconv.Itoa(i), "1")
			}
		}
	}))
	t.Cleanup(ts.Close)
	e := newTestEgress(t, strings.TrimPrefix(ts.URL, "http://"), table.Active)
	var out bytes.Buffer
	log := zerolog.New(&out)
	e.log = &log
	for range 3 {
		serve(t, e, lookup())
	}
	lines := slices.DeleteFunc(strings.Split(out.String(), "\n"), func(s string) bool { return !strings.Contains(s, `"event":416`) })
	if got, want := len(lines), 2; got != want {
		t.Fatalf("got %d lines, want %d: %v", got, want, lines)
	}
	if got, want := lines[0], `"fields":["X-Endpoint-Says"]`; !strings.Contains(got, want) || strings.Contains(got, "something") {
		t.Errorf("first line: got %s, want %s and no value", got, want)
	}
	if got, want := strings.Count(lines[1], "X-Many-"), maxUnreadFields-1; got != want {
		t.Errorf("second line: got %d names, want %d", got, want)
	}
}
