package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a time that never goes backwards. Its values can only be compared with values of the same clock.
type Clock func() time.Time

// Boot is the time since the host booted, including suspensions, as a time.Time after 1970 without a monotonic reading.
// It costs a system call, 0.37 us (BenchmarkBoot), so use it only where the monotonic clock would be compared with time
// that passes elsewhere.
func Boot() time.Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		// Every kernel since 2.6.39 has this clock. The monotonic clock is correct as long as the host isn't suspended.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Since returns the time since an earlier value of the clock.
func (c Clock) Since(t time.Time) time.Duration { return c().Sub(t) }

// maxReadSkew is by how much two clocks read one after the other may differ because the thread is interrupted between
// the reads.
const maxReadSkew = 2 * time.Millisecond

// Stopwatch measures how long the host has been suspended since the stopwatch was started; timers and deadlines don't
// count that time.
type Stopwatch struct {
	clock                     Clock
	bootStart, monotonicStart time.Time
}

// StartStopwatch starts a stopwatch.
func (c Clock) StartStopwatch() Stopwatch {
	return Stopwatch{clock: c, bootStart: c(), monotonicStart: time.Now()}
}

// Suspended returns how long the host was suspended, 0 if that is less than maxReadSkew.
func (s Stopwatch) Suspended() time.Duration {
	suspended := s.clock.Since(s.bootStart) - time.Since(s.monotonicStart)
	if suspended < maxReadSkew {
		return 0
	}
	return suspended
}
