package table

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/fault"
)

// plainKey marks a key that is written as such; only its digest is kept.
const plainKey = "plain:"

// digestBytes is how much of a key's SHA-256 is kept: with 440,000 keys, two that differ meet with a chance of 1 in 10^27.
const digestBytes = 16

// KeyDigest is what is kept of a customer's key. The key itself is kept nowhere, so that no row, log line or message can show it,
// and a look-up by digest takes the same time for a key that is nearly right.
type KeyDigest [digestBytes]byte

// DigestKey returns the digest of a key as its customer sends it.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestBytes])
}

// String returns the digest as rows hold it, 22 letters of base64.
func (d KeyDigest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// Keys are the digests of a customer's keys, in order and each once; immutable.
type Keys struct {
	digests []KeyDigest
}

// NewKeys returns the keys of these digests.
func NewKeys(digests ...KeyDigest) Keys {
	sorted := slices.SortedFunc(slices.Values(digests), func(a, b KeyDigest) int { return strings.Compare(string(a[:]), string(b[:])) })
	return Keys{digests: slices.Compact(sorted)}
}

// Digests returns the digests; the caller must not change them.
func (k Keys) Digests() []KeyDigest { return k.digests }

// MarshalText writes the digests, with commas between them.
func (k Keys) MarshalText() ([]byte, error) {
	words := make([]string, 0, len(k.digests))
	for _, d := range k.digests {
		words = append(words, d.String())
	}
	return []byte(strings.Join(words, ",")), nil
}

// UnmarshalText reads digests and keys written as "plain:KEY", which become digests at once; BadRow for anything else. The
// failure never holds the text: it may be a key.
func (k *Keys) UnmarshalText(text []byte) error {
	k.digests = nil
	if len(text) == 0 {
		return nil
	}
	var digests []KeyDigest
	for word := range strings.SplitSeq(string(text), ",") {
		d, ok := readKey(strings.TrimSpace(word))
		if !ok {
			return fault.New(fault.BadRow, "", `want digests of 22 letters, or keys as "plain:KEY"`)
		}
		digests = append(digests, d)
	}
	*k = NewKeys(digests...)
	return nil
}

func readKey(word string) (KeyDigest, bool) {
	if key, plain := strings.CutPrefix(word, plainKey); plain {
		return DigestKey(key), key != ""
	}
	b, err := base64.RawURLEncoding.DecodeString(word)
	if err != nil || len(b) != digestBytes {
		return KeyDigest{}, false
	}
	return KeyDigest(b), true
}
