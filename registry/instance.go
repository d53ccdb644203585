package registry

import (
	"strconv"
	"strings"
)

// bornMark is between an endpoint's name and the time of its birth in the key of an instance.
const bornMark = "@"

// Key returns the name under which the fleet knows one life of an endpoint: its own name, and when it was born, in milliseconds
// since 1970, where it says so. An endpoint that starts again under its name holds and knows nothing of before: whatever is believed
// of it, counted for it or kept for it goes by this key.
func Key(instance string, born int64) string {
	if born <= 0 {
		return instance
	}
	return instance + bornMark + strconv.FormatInt(born, 10)
}

// Instance returns the endpoint's own name, and when it was born, 0 if the key does not say.
func Instance(key string) (instance string, born int64) {
	i := strings.LastIndex(key, bornMark)
	if i < 0 {
		return key, 0
	}
	born, err := strconv.ParseInt(key[i+1:], 10, 64)
	if err != nil || born <= 0 || Key(key[:i], born) != key {
		return key, 0
	}
	return key[:i], born
}
