// Package ingress handles callers' requests. For each request it finds the route and the service, has the director pick
// an endpoint, enforces the deadline, decides on retries, passes the answer on and reports the outcome: ran, not run or
// unknown.
package ingress
