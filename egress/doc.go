// Package egress is the only way to the endpoints beside a node. It enforces their slots and queues, drains and
// idempotency keys, dispatches the requests and measures how the endpoints handle them. A refusal by it is proof that
// the request did not run.
package egress
