// Package poison identifies poison requests, those that crash the endpoints that run them. A request is identified by a
// fingerprint of its content, so that retries under other ids count as the same request. The package has the policy
// that decides which requests are blocked, and the encoding of the rows that record the crashes. It has no clock,
// socket or goroutine of its own. Events, metrics, rows and lynxplankctl say "fatal" for poison, "content" for a
// fingerprint, "end" for a crash and "barred" for blocked.
package poison
