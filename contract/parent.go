package contract

import "strings"

// callSeparator separates, in the id of a call that an endpoint makes, the id of the request that it is made for from the part
// that distinguishes the calls of that request.
const callSeparator = "."

// ParentOf returns the id of the request that a call was made for directly, "" if id is not the id of a call.
func ParentOf(id string) string {
	i := strings.LastIndex(id, callSeparator)
	if i < 0 {
		return ""
	}
	return id[:i]
}

// RootOf returns the id of the caller's request at the start of a chain of calls, however long the chain; call is false, and
// root the id itself, if id is not the id of a call.
func RootOf(id string) (root string, call bool) {
	root, _, call = strings.Cut(id, callSeparator)
	return root, call
}

// IsCallOf reports whether id is the id of a call made for a request, directly or through other calls.
func IsCallOf(id, request string) bool { return strings.HasPrefix(id, request+callSeparator) }
