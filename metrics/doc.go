// Package metrics records the node's metrics with tally and exposes them in the Prometheus text format. Each service, each kind
// of call to the platform's store and each customer has its own instruments, up to a maximum number; the rest share one set.
package metrics
