package contract

import (
	"net/http"
	"slices"
)

// standardFields are the fields of answers, in canonical case, that HTTP itself or browsers define and that need no
// reading here.
var standardFields = map[string]bool{
	"Accept-Ranges": true, "Allow": true, "Cache-Control": true, "Connection": true, "Content-Disposition": true,
	"Content-Encoding": true, "Content-Language": true, "Content-Length": true, "Content-Location": true, "Content-Range": true,
	"Content-Type": true, "Date": true, "Etag": true, "Expires": true, "Keep-Alive": true, "Last-Modified": true,
	"Location": true, "Retry-After": true, "Server": true, "Set-Cookie": true, "Trailer": true, "Transfer-Encoding": true,
	"Vary": true, "Www-Authenticate": true,
}

// UnreadFields returns the names, sorted, of the fields of an endpoint's answer that are neither standard nor among those
// that a contract reads.
func UnreadFields(h http.Header, read []string) []string {
	var unread []string
	for name := range h {
		if !standardFields[name] && !slices.Contains(read, name) {
			unread = append(unread, name)
		}
	}
	slices.Sort(unread)
	return unread
}
