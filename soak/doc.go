// Package soak runs the real programs as separate processes on loopback, lets faults drawn from a seed overlap while
// callers send, and checks the promises of docs/CALLERS.md and docs/OPERATORS.md from what callers, endpoints and
// operators see. It injects from outside only: proxies on the links between nodes and to the store, signals, the
// behaviours of the stand-ins. It ends no process that it has not started.
package soak
