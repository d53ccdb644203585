// Package metrics counts and times the node's work with tally and shows it in the Prometheus text format. Histograms
// are kept for each service, and for a bounded number of customers; the rest share one.
package metrics
