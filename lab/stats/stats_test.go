package stats

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The 95% interval must contain the true difference in about 95 of 100 cases.
func TestPairedIntervalContainsTrueDifference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	contained := 0
	const tries = 4000
	for range tries {
		a, b := make([]float64, 5), make([]float64, 5)
		for i := range a {
			common := rng.NormFloat64() * 10 // the common part of a pair must not widen the interval
			a[i], b[i] = common, common+0.3+rng.NormFloat64()
		}
		if got := Paired(a, b, 0.95); got.Low <= 0.3 && 0.3 <= got.High {
			contained++
		}
	}
	if coverage := float64(contained) / tries; math.Abs(coverage-0.95) > 0.015 {
		t.Errorf("fraction of intervals with the true difference = %v, want 0.95 within 0.015", coverage)
	}
}

// With a single pair the interval must be unbounded, so that it does not exclude zero.
func TestSinglePairGivesUnboundedInterval(t *testing.T) {
	if got := Paired([]float64{1}, []float64{5}, 0.95); got.ExcludesZero() || got.Mean != 4 {
		t.Errorf("interval of one pair = %+v, want mean 4 and no exclusion of zero", got)
	}
	if got := Paired([]float64{1, 2, 3}, []float64{5, 6.1, 6.9}, 0.95); !got.ExcludesZero() {
		t.Errorf("interval of three pairs = %+v, want one that excludes zero", got)
	}
}
