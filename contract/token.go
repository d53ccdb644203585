package contract

import (
	"net/http"
	"strings"
)

const (
	// authorization is the header field in which callers send their customer's key.
	authorization = "Authorization"
	// tokenScheme is the authentication scheme that precedes the key in that field.
	tokenScheme = "Token"
)

// TokenOf reads the customer's key of a request. Several fields, another scheme or a missing key count as a credential that
// cannot be read, not as an absent one.
func TokenOf(h http.Header) Token {
	values := h[authorization]
	if len(values) == 0 {
		return Token{}
	}
	t := Token{Borne: true}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if len(values) == 1 && strings.EqualFold(scheme, tokenScheme) {
		t.Key = strings.TrimSpace(key)
	}
	return t
}

// IsKeyField reports whether a header field carries a customer's key.
func IsKeyField(name string) bool { return SameFieldName(name, authorization) }

// SameFieldName reports whether a name denotes the given header field in any spelling: servers behind a node accept other
// cases, and "_" for "-".
func SameFieldName(name, field string) bool {
	return strings.EqualFold(strings.ReplaceAll(name, "_", "-"), field)
}
