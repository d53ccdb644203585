// Package stepped makes times as a process reads them after the time of day was set, for tests.
package stepped

import (
	"time"
	"unsafe"
)

const (
	// hasMonotonic marks a time.Time with a monotonic reading in its first word; the seconds of the time of day stand above the
	// nanoseconds there.
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// Step returns a time with a monotonic reading whose time of day is ahead by some whole seconds; it panics for another one.
func Step(t time.Time, by time.Duration) time.Time {
	words := (*[2]uint64)(unsafe.Pointer(&t)) //nolint:gosec // the time package has no way to make such a time
	if words[0]&hasMonotonic == 0 {
		panic("want a time with a monotonic reading")
	}
	words[0] += uint64(by/time.Second) << secondsShift //nolint:gosec // wraps as intended
	return t
}
