// Package egress is the only way to the endpoints beside a node. It enforces their slots and queues, drains and
// idempotency keys, runs the requests and measures the real work. Its refusal is proof that a request was not run.
package egress
