// Package clock provides a clock that keeps running while the host is suspended. The monotonic clock of a host stops
// meanwhile, but what one node grants to another or has learned of it expires all the same. It also detects when the
// process itself did not run.
package clock
