// Package keyowner tells where an idempotency key is at home: at the endpoints of its service that rendezvous hashing
// ranks highest for it.
package keyowner
