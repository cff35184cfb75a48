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
