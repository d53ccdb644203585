package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"
)

// contentBytes is how much of a content's SHA-256 is kept: nobody can make a request that passes for another's.
const contentBytes = 16

// Content is what a request asks for: it stays the same when the request comes again under another id or at another node.
type Fingerprint [contentBytes]byte

// ContentOf returns the content of a request of a customer, "" for none; host is that of its route, which names one host or any.
//
// The node at which the request came in does not belong to it, and so neither the address by which the caller found that node, nor the
// service beside it: whoever repeats it does so anywhere.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, method, strings.ToLower(host), target} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:contentBytes])
}

// Read returns the content that a message carries, false where it carries none.
func FingerprintFromBytes(b []byte) (Fingerprint, bool) {
	if len(b) != contentBytes {
		return Fingerprint{}, false
	}
	return Fingerprint(b), true
}

// String returns the content as logs and rows show it, 22 letters of base64.
func (c Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(c[:]) }

// Parse reads what String returns, false for anything else.
func ParseFingerprint(text string) (Fingerprint, bool) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Fingerprint{}, false
	}
	return FingerprintFromBytes(b)
}
