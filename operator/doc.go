// Package operator answers operators on a listener of its own: status, explanations and metrics of one node.
package operator
