// Package keyowner determines which endpoints own an idempotency key: those of its service that rendezvous hashing
// ranks highest for it.
package keyowner
