package header

import (
	"net/http"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// The header fields of the contract, in canonical case.
const (
	// Customer names the customer, by callers.
	Customer = "Lynxplank-Customer"
	// Repeatable is "yes" or "no", by callers.
	Repeatable = "Lynxplank-Repeatable"
	// Deadline is the time left, such as "1500ms", by callers and towards endpoints.
	Deadline = "Lynxplank-Deadline"
	// IdempotencyKey recognises a re-send, by callers.
	IdempotencyKey = "Idempotency-Key"
	// Attempt numbers the sends under one key from 1, by callers.
	Attempt = "Lynxplank-Attempt"
	// RequestID identifies one request, towards endpoints and callers.
	RequestID = "Lynxplank-Request-Id"
	// Outcome is "ran", "not-run" or "unknown", towards callers.
	Outcome = "Lynxplank-Outcome"
	// RetryAfter is the exact form of Retry-After, such as "80ms", towards callers.
	RetryAfter = "Lynxplank-Retry-After"
	// Replayed is set on an answer that comes from the record of an earlier run, towards callers.
	Replayed = "Lynxplank-Replayed"
	// NotRun is set by an endpoint on an answer to a request that it did not run.
	NotRun = "Lynxplank-Not-Run"
	// Leaving is set by an endpoint that is about to stop.
	Leaving = "Lynxplank-Leaving"
	// MaxRate is the number of requests a second that an endpoint takes from all nodes together, by endpoints.
	MaxRate = "Lynxplank-Max-Rate"
)

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// own are the fields that the system itself sets towards endpoints or callers.
var own = []string{Deadline, RequestID, Outcome, RetryAfter, Replayed, Leaving, NotRun}

// FromHTTP returns the fields that go on: neither those of one connection nor the system's own.
func FromHTTP(h http.Header) []*peerpb.Header {
	return without(h, slices.Concat(hopByHop, own))
}

// EndToEnd returns the fields that go on but for those of one connection.
func EndToEnd(h http.Header) []*peerpb.Header { return without(h, slices.Clip(hopByHop)) }

func without(h http.Header, dropped []string) []*peerpb.Header {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		if slices.Contains(dropped, name) {
			continue
		}
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

// ToHTTP adds the fields to h.
func ToHTTP(fields []*peerpb.Header, h http.Header) {
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
}

// Size returns the length of the fields' names and values, in bytes.
func Size(fields []*peerpb.Header) (size int) {
	for _, f := range fields {
		size += len(f.GetName()) + len(f.GetValue())
	}
	return size
}
