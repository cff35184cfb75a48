// Package clock gives a node the time: Unix milliseconds at its start, continued by the monotonic clock. So the start times in
// discovery's list need no conversion, and a later step of the wall clock changes no deadline.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a node's time. It is safe for concurrent use.
type Clock struct {
	start     time.Time // with its monotonic reading
	startUnix float64   // the same moment in Unix milliseconds
}

// New returns a clock that starts now.
func New() Clock {
	now := time.Now()
	return Clock{start: now, startUnix: float64(now.UnixMicro()) / 1000}
}

// Now returns the time in milliseconds.
func (c Clock) Now() float64 { return c.At(time.Now()) }

// At returns the clock's time in milliseconds at a reading of the system's clock.
func (c Clock) At(t time.Time) float64 { return c.startUnix + Millis(t.Sub(c.start)) }

// Millis returns a span in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Span returns a number of milliseconds as a duration.
func Span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// MonotonicZero returns the clock's time at which the machine's monotonic clock began. It tells how far two processes' clocks on one machine
// are apart: the wall clock may have been stepped between their starts. The error is the system's.
func (c Clock) MonotonicZero() (float64, error) {
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return c.Now() - Millis(time.Duration(monotonic.Nano())), nil
}
