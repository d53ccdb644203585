package registry

import (
	"strconv"
	"strings"
)

// birthSeparator separates an endpoint's name from its start time in the key of an incarnation.
const birthSeparator = "@"

// Key returns the name by which the fleet identifies one incarnation of an endpoint, that is one run of its process:
// the endpoint's own name and, where it reports one, its start time ("born") in milliseconds since 1970. An endpoint
// that restarts under the same name remembers nothing of its previous run, so everything that is learned, counted or
// stored about an endpoint is stored under this key.
func Key(instance string, born int64) string {
	if born <= 0 {
		return instance
	}
	return instance + birthSeparator + strconv.FormatInt(born, 10)
}

// Instance returns the endpoint's own name and its start time, 0 if the key contains none.
func Instance(key string) (instance string, born int64) {
	i := strings.LastIndex(key, birthSeparator)
	if i < 0 {
		return key, 0
	}
	born, err := strconv.ParseInt(key[i+1:], 10, 64)
	if err != nil || born <= 0 || Key(key[:i], born) != key {
		return key, 0
	}
	return key[:i], born
}
