package clock

import "time"

// start is a reading of both of the process's clocks, startNanos its nanoseconds since 1970.
var (
	start      = time.Now()
	startNanos = start.UnixNano()
)

// Nanos returns a time as nanoseconds, for use in atomic variables; At converts it back. The time since the process's start is added to
// the time of day at its start, so that two values are as far apart as their times, also when the time of day was set in between. Of a
// time without a monotonic reading it is the nanoseconds since 1970.
func Nanos(t time.Time) int64 { return startNanos + int64(t.Sub(start)) }

// At returns the time of a value of Nanos.
func At(nanos int64) time.Time { return start.Add(time.Duration(nanos - startNanos)) }
