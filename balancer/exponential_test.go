package balancer

import (
	"math"
	"testing"
)

// The recorded decisions depend on the last bit of each power of e. This test detects a value that is wrong by more than rounding, also
// outside the range that the recording covers.
func TestExponentialEqualsMathExpUpToRounding(t *testing.T) {
	const maxError = 4e-16 // relative: two units in the last place
	for x := -700.0; x <= 700; x += 0.0371 {
		if got, want := exponential(x), math.Exp(x); math.Abs(got-want) > maxError*want {
			t.Errorf("exponential(%v) = %v, want %v", x, got, want)
		}
	}
	for _, x := range []float64{0, math.Inf(1), math.Inf(-1), -800} {
		if got, want := exponential(x), math.Exp(x); got != want {
			t.Errorf("exponential(%v) = %v, want %v", x, got, want)
		}
	}
	if !math.IsNaN(exponential(math.NaN())) {
		t.Error("exponential(NaN) is a number, want NaN")
	}
}
