package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"
)

// fingerprintBytes is how many bytes of the SHA-256 a fingerprint keeps, enough that no caller can construct a request
// with the fingerprint of another caller's request.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content. It stays the same when the request is repeated under another id or
// at another node.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a customer's request. customer is "" for none; host is the host of the
// request's route, "*" for a route that takes any.
//
// The fingerprint covers neither the address that the caller used nor the service beside the node that received the
// request, because the request may be repeated at any other node.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, method, strings.ToLower(host), target} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// FingerprintFromBytes returns the fingerprint that a message carries, false if it carries none.
func FingerprintFromBytes(b []byte) (Fingerprint, bool) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, false
	}
	return Fingerprint(b), true
}

// String returns the fingerprint as logs and rows show it, 22 characters of base64.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// ParseFingerprint parses a text that String has returned. It returns false for any other text.
func ParseFingerprint(text string) (Fingerprint, bool) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Fingerprint{}, false
	}
	return FingerprintFromBytes(b)
}
