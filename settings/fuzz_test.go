package settings

import "testing"

// FuzzDaemon checks that parsing arbitrary text as settings never panics.
func FuzzDaemon(f *testing.F) {
	f.Add([]byte("node: {id: a, hall: b}"))
	f.Add([]byte("peers: {seeds: [1, {a: b}], tls: 5}\nlog: {level: [x]}"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		cfg := DefaultDaemon()
		_ = Parse("in", text, &cfg)
	})
}
