package clock

import (
	"math"
	"testing"
	"time"
)

// The endpoint list has server start times in Unix milliseconds, which are compared with the times of this clock.
func TestClockReturnsUnixMilliseconds(t *testing.T) {
	c := New()
	now := time.Now()
	if got, want := c.At(now), float64(now.UnixMicro())/1000; math.Abs(got-want) > 50 { // larger only if the wall clock was stepped after New
		t.Errorf("At = %v ms, want %v ms: start times in the endpoint list would be misread", got, want)
	}
	if d := c.At(now.Add(1500*time.Microsecond)) - c.At(now); math.Abs(d-1.5) > 0.01 {
		t.Errorf("difference between two times = %v ms, want 1.5 ms", d)
	}
	if Duration(2.5) != 2500*time.Microsecond || Millis(2500*time.Microsecond) != 2.5 {
		t.Error("Duration(2.5) is not 2.5ms or Millis(2.5ms) is not 2.5")
	}
}

// The wall clock is stepped by an hour between the starts of two processes. MonotonicZero must differ by that hour.
func TestMonotonicZeroGivesOffsetBetweenClocks(t *testing.T) {
	earlier := New()
	later := New()
	later.startUnixMillis += 3600e3
	earlierZero, err := earlier.MonotonicZero()
	if err != nil {
		t.Fatal(err)
	}
	laterZero, err := later.MonotonicZero()
	if err != nil || math.Abs(laterZero-earlierZero-3600e3) > 50 {
		t.Errorf("difference of MonotonicZero = %v ms, error %v, want 3600000 ms", laterZero-earlierZero, err)
	}
}
