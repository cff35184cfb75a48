// Package clock provides the time of a node in Unix milliseconds. The wall clock is read once, when the node starts; from then
// on the time advances with the monotonic clock. The server start times in the endpoint list are Unix times and therefore need no
// conversion, and a later step of the wall clock changes no deadline.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time source of a node. It is safe for concurrent use.
type Clock struct {
	start           time.Time // includes a monotonic reading
	startUnixMillis float64   // wall-clock time at start, in Unix milliseconds
}

// New returns a clock that starts now.
func New() Clock {
	now := time.Now()
	return Clock{start: now, startUnixMillis: float64(now.UnixMicro()) / 1000}
}

// Now returns the current time in Unix milliseconds.
func (c Clock) Now() float64 { return c.At(time.Now()) }

// At converts a time from time.Now to this clock's milliseconds.
func (c Clock) At(t time.Time) float64 { return c.startUnixMillis + Millis(t.Sub(c.start)) }

// Millis converts a duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration converts a number of milliseconds to a duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// MonotonicZero returns this clock's time, in milliseconds, at which the machine's monotonic clock was 0. The difference between
// the results in two processes on one machine is the offset between their clocks: it is not 0 if the wall clock was stepped between
// their starts. The error is that of clock_gettime.
func (c Clock) MonotonicZero() (float64, error) {
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return c.Now() - Millis(time.Duration(monotonic.Nano())), nil
}
