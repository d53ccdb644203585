package poison

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// TestContentOf checks what belongs to a content: nobody's request is taken for another customer's, and no part runs into the next.
func TestContentOf(t *testing.T) {
	same := FingerprintOf("firm-1", "GET", "Desk.example", "/list", []byte("x"))
	if got, want := FingerprintOf("firm-1", "GET", "desk.EXAMPLE", "/list", []byte("x")), same; got != want {
		t.Errorf("another case of the host: got %v, want %v", got, want)
	}
	others := map[string]Fingerprint{
		"customer": FingerprintOf("firm-2", "GET", "desk.example", "/list", []byte("x")),
		"method":   FingerprintOf("firm-1", "PUT", "desk.example", "/list", []byte("x")),
		"target":   FingerprintOf("firm-1", "GET", "desk.example", "/list?a", []byte("x")),
		"body":     FingerprintOf("firm-1", "GET", "desk.example", "/list", nil),
		"shift":    FingerprintOf("firm-1", "GET", "desk.example", "/lis", []byte("tx")),
	}
	for part, got := range others {
		if got == same {
			t.Errorf("another %s: got the same content", part)
		}
	}
	if got, ok := ParseFingerprint(same.String()); !ok || got != same {
		t.Errorf("read back: got %v, want %v", got, same)
	}
	for _, text := range []string{"", "short", same.String() + "A", "!!!!!!!!!!!!!!!!!!!!!!"} {
		if got, ok := ParseFingerprint(text); ok {
			t.Errorf("%q: got %v, want none", text, got)
		}
	}
}

// TestEnds checks when a request is barred and when fewer ends are forgotten; a barred one never is.
func TestEnds(t *testing.T) {
	now := time.UnixMilli(1e12)
	f := table.PoisonRequest{}
	for i, end := range []string{"a@1", "b@2", "b@2", "c@3"} {
		f = WithCrashes(f, "desk", []string{end}, now)
		if got, want := Blocked(f), i == 3; got != want {
			t.Errorf("barred after %v: got %v, want %v", f.Ends, got, want)
		}
		later := now.Add(ForgetAfter + time.Second)
		if got, want := Forgotten(f, later), i < 3; got != want {
			t.Errorf("forgotten with %v: got %v, want %v", f.Ends, got, want)
		}
		if got, want := Forgotten(f, now.Add(ForgetAfter-time.Second)), false; got != want {
			t.Errorf("forgotten early with %v: got %v, want %v", f.Ends, got, want)
		}
	}
}

// TestRecords checks that a row comes back from the store as it was written, and that what no node writes is refused.
func TestRecords(t *testing.T) {
	f := WithCrashes(table.PoisonRequest{}, "desk", []string{EndOf("e,1", time.UnixMilli(5)), "b@2"}, time.UnixMilli(7))
	text, err := Encode(f)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(platform.Record{Key: "k", Value: text})
	if err != nil || got != f {
		t.Errorf("read back: got %v and %v, want %v", got, err, f)
	}
	for _, text := range []string{"", "{}", `{"service":"s"}`, `{"service":"a b","ends":["x"]}`, `{"service":"s","ends":["x,y"]}`, `{"service":"s","ends":[""]}`} {
		if got, err := Decode(platform.Record{Key: "k", Value: []byte(text)}); err == nil {
			t.Errorf("%s: got %v, want a failure", text, got)
		}
	}
}

// BenchmarkContent is what each request pays at its ingress.
func BenchmarkContent(b *testing.B) {
	body := make([]byte, 300)
	b.ReportAllocs()
	for range b.N {
		FingerprintOf("firm-1", "POST", "desk.example", "/booking/12", body)
	}
}

// BenchmarkRecent is what each piece of good work pays at its endpoint's node.
func BenchmarkRecent(b *testing.B) {
	r, now := NewRecent(), time.Now()
	b.ReportAllocs()
	for i := range b.N {
		r.Note(now, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)})
	}
}
