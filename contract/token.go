package contract

import (
	"net/http"
	"strings"
)

const (
	// authorization is the field in which callers bear their customer's key.
	authorization = "Authorization"
	// tokenScheme comes before the key there.
	tokenScheme = "Token"
)

// TokenOf reads the customer's key that a request bears. More than one of them, another scheme or no key at all is something
// that cannot be read, not nothing.
func TokenOf(h http.Header) Token {
	values := h[authorization]
	if len(values) == 0 {
		return Token{}
	}
	t := Token{Present: true}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if len(values) == 1 && strings.EqualFold(scheme, tokenScheme) {
		t.Key = strings.TrimSpace(key)
	}
	return t
}

// KeyField tells whether a field bears a customer's key.
func IsKeyField(name string) bool { return SameFieldName(name, authorization) }

// SameField tells whether a name stands for a field in whatever spelling: servers behind take other cases, and "_" for "-".
func SameFieldName(name, field string) bool {
	return strings.EqualFold(strings.ReplaceAll(name, "_", "-"), field)
}
