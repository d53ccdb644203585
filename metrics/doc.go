// Package metrics counts and times the node's work with tally and shows it in the Prometheus text format. Histograms
// are kept for each service, each kind of call to the store and each customer, up to a bounded number; the rest share one.
package metrics
