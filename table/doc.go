// Package table holds the configuration: typed rows of services, endpoints, routes, customers and hosts,
// their cells as text, and the immutable state that a node serves from.
package table
