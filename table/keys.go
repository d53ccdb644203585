package table

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/fault"
)

// plainKeyPrefix marks a cell's key that is given in plain text; only its digest is stored.
const plainKeyPrefix = "plain:"

// digestBytes is the length to which a key's SHA-256 is truncated. With 440,000 keys the probability that any two
// different keys have the same digest is 1 in 10^27.
const digestBytes = 16

// KeyDigest is the digest of a customer's key. The key itself is never stored, so that no row, log line or message can
// disclose it, and a lookup by digest does not reveal through its duration how much of a guessed key is right.
type KeyDigest [digestBytes]byte

// DigestKey returns the digest of a plain-text key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestBytes])
}

// String returns the digest in the text form used in rows: 22 characters of unpadded URL-safe base64.
func (d KeyDigest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// Keys is an immutable, sorted set of the digests of a customer's keys.
type Keys struct {
	digests []KeyDigest
}

// NewKeys returns the set of the given digests.
func NewKeys(digests ...KeyDigest) Keys {
	sorted := slices.SortedFunc(slices.Values(digests), func(a, b KeyDigest) int { return strings.Compare(string(a[:]), string(b[:])) })
	return Keys{digests: slices.Compact(sorted)}
}

// Digests returns the digests; the caller must not change them.
func (k Keys) Digests() []KeyDigest { return k.digests }

// MarshalText returns the digests separated by commas.
func (k Keys) MarshalText() ([]byte, error) {
	texts := make([]string, 0, len(k.digests))
	for _, d := range k.digests {
		texts = append(texts, d.String())
	}
	return []byte(strings.Join(texts, ",")), nil
}

// UnmarshalText parses digests, and keys given as "plain:KEY", which it replaces by their digests; it fails with BadRow
// for anything else. The error never contains the text, which may be a key.
func (k *Keys) UnmarshalText(text []byte) error {
	k.digests = nil
	if len(text) == 0 {
		return nil
	}
	var digests []KeyDigest
	for word := range strings.SplitSeq(string(text), ",") {
		d, ok := parseKey(strings.TrimSpace(word))
		if !ok {
			return fault.New(fault.BadRow, "", `want digests of 22 letters, or keys as "plain:KEY"`)
		}
		digests = append(digests, d)
	}
	*k = NewKeys(digests...)
	return nil
}

func parseKey(word string) (KeyDigest, bool) {
	if key, plain := strings.CutPrefix(word, plainKeyPrefix); plain {
		return DigestKey(key), key != ""
	}
	b, err := base64.RawURLEncoding.DecodeString(word)
	if err != nil || len(b) != digestBytes {
		return KeyDigest{}, false
	}
	return KeyDigest(b), true
}
