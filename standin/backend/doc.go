// Package backend is a small stand-in for an endpoint. On request it drains, starts cold, sheds load, reports a
// lagging or false load and fails grayly; it honours cancellation and deadlines and keeps a record of what it ran.
// It serves tests and the demo only.
package backend
