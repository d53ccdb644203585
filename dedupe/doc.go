// Package dedupe keeps, at a key's home, what is known of each idempotency key, and decides whether a request with
// that key may run. It is pure: the time comes in, decisions go out, nothing is kept on disk.
package dedupe
