package clock

import (
	"math"
	"testing"
	"time"
)

// Discovery's list has start times in Unix milliseconds, which are compared with this clock.
func TestUnixMilliseconds(t *testing.T) {
	c := New()
	now := time.Now()
	if got, want := c.At(now), float64(now.UnixMicro())/1000; math.Abs(got-want) > 50 { // a step of the wall clock apart
		t.Errorf("%v, want %v: start times that discovery tells would be misread", got, want)
	}
	if d := c.At(now.Add(1500*time.Microsecond)) - c.At(now); math.Abs(d-1.5) > 0.01 {
		t.Errorf("1.5 ms count as %v", d)
	}
	if Span(2.5) != 2500*time.Microsecond || Millis(2500*time.Microsecond) != 2.5 {
		t.Error("spans do not convert")
	}
}

// Two processes whose wall clocks differ by an hour at their starts find out by how much from the monotonic clock that they share.
func TestMonotonicZeroTellsClocksApart(t *testing.T) {
	earlier := New()
	later := New()
	later.startUnix += 3600e3
	a, err := earlier.MonotonicZero()
	if err != nil {
		t.Fatal(err)
	}
	b, err := later.MonotonicZero()
	if err != nil || math.Abs(b-a-3600e3) > 50 {
		t.Errorf("the clocks are told to be %v ms apart, %v", b-a, err)
	}
}
