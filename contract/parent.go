package contract

import "strings"

// callMark stands in a call's id between the id of the request whose work makes it and what tells its calls apart.
const callMark = "."

// ParentOf returns the id of the request whose work makes a call, by the call's own id; "" for an id that names none.
func ParentOf(id string) string {
	i := strings.LastIndex(id, callMark)
	if i < 0 {
		return ""
	}
	return id[:i]
}

// RootOf returns the id of the caller's request that a call is made for, however many calls are between them; call is false
// for an id that names no other.
func RootOf(id string) (root string, call bool) {
	root, _, call = strings.Cut(id, callMark)
	return root, call
}

// IsCallOf tells whether an id names a call beneath a request, or a call beneath such a call.
func IsCallOf(id, request string) bool { return strings.HasPrefix(id, request+callMark) }
