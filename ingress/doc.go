// Package ingress takes callers' requests: it finds the route and service, has an endpoint chosen, owns the deadline,
// the retries and the answer, and tells the caller what happened: ran, not run or unknown.
package ingress
