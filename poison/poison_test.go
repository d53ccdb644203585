package poison

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// TestFingerprintOf checks what a fingerprint covers: requests of different customers differ, and text that moves from
// one part of a request to the next changes it.
func TestFingerprintOf(t *testing.T) {
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
			t.Errorf("another %s: got the same fingerprint", part)
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

// TestBlockedAndExpired checks after how many crashes a request is blocked, and when fewer crashes expire. Those of a
// blocked request never do.
func TestBlockedAndExpired(t *testing.T) {
	now := time.UnixMilli(1e12)
	f := table.PoisonRequest{}
	for i, crash := range []string{"a@1", "b@2", "b@2", "c@3"} {
		f = WithCrashes(f, "desk", []string{crash}, now)
		if got, want := Blocked(f), i == 3; got != want {
			t.Errorf("blocked after %v: got %v, want %v", f.Ends, got, want)
		}
		later := now.Add(SuspicionDuration + time.Second)
		if got, want := Expired(f, later), i < 3; got != want {
			t.Errorf("expired with %v: got %v, want %v", f.Ends, got, want)
		}
		if got, want := Expired(f, now.Add(SuspicionDuration-time.Second)), false; got != want {
			t.Errorf("expired early with %v: got %v, want %v", f.Ends, got, want)
		}
	}
}

// TestRecordRoundTrip checks that Decode returns the row that Encode was given, and refuses records that no node
// writes.
func TestRecordRoundTrip(t *testing.T) {
	f := WithCrashes(table.PoisonRequest{}, "desk", []string{CrashID("e,1", time.UnixMilli(5)), "b@2"}, time.UnixMilli(7))
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

// BenchmarkFingerprint measures what the ingress does for each request.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 300)
	b.ReportAllocs()
	for range b.N {
		FingerprintOf("firm-1", "POST", "desk.example", "/booking/12", body)
	}
}

// BenchmarkRecent measures what the node beside an endpoint does for each request that succeeded.
func BenchmarkRecent(b *testing.B) {
	r, now := NewRecent(), time.Now()
	b.ReportAllocs()
	for i := range b.N {
		r.Add(now, Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)})
	}
}
