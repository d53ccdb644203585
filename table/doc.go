// Package table holds the fleet's configuration: typed rows (services, endpoints, routes, customers, hosts and others),
// the text form of their cells, and State, the immutable snapshot of all rows from which a node serves requests. Rows
// come from several sources (see Source); deltas carry a state from one revision of a source to a later one.
package table
