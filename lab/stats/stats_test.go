package stats

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The interval at 95% contains the true mean in about 95 of 100 cases.
func TestIntervalContainsTheMean(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	held := 0
	const tries = 4000
	for range tries {
		a, b := make([]float64, 5), make([]float64, 5)
		for i := range a {
			common := rng.NormFloat64() * 10 // what a pair shares must not widen the interval
			a[i], b[i] = common, common+0.3+rng.NormFloat64()
		}
		if got := Paired(a, b, 0.95); got.Low <= 0.3 && 0.3 <= got.High {
			held++
		}
	}
	if share := float64(held) / tries; math.Abs(share-0.95) > 0.015 {
		t.Errorf("the interval held the mean in %v of the cases", share)
	}
}

// A single figure gives an interval without bounds, which proves nothing.
func TestTooFewFiguresGiveNoInterval(t *testing.T) {
	if got := Paired([]float64{1}, []float64{5}, 0.95); got.ExcludesZero() || got.Mean != 4 {
		t.Errorf("one pair gave %+v", got)
	}
	if got := Paired([]float64{1, 2, 3}, []float64{5, 6.1, 6.9}, 0.95); !got.ExcludesZero() {
		t.Errorf("a plain difference is not clear: %+v", got)
	}
}
