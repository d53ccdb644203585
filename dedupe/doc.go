// Package dedupe is the record of idempotency keys that the owner of a key holds. It decides whether a request with the
// key may run. It is pure: callers pass in the time and carry out the returned decisions; nothing is written to disk.
package dedupe
