// Package node builds a whole node from its settings and starts and stops it.
package node
