// Package store is a small stand-in for the users' platform: rows and objects in memory, with outages,
// slowness and lost replies switched on by request. It serves tests and the demo only.
package store
