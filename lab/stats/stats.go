// Package stats computes the means, paired differences and confidence intervals for comparing the two arms of an
// experiment. Its functions have no side effects.
package stats

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is a mean of N values with its confidence interval and standard deviation.
type Interval struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	SD   float64 `json:"sd"`
}

// Mean returns the mean of the values and its confidence interval by Student's t distribution, at a confidence level such
// as 0.95. With fewer than two values the interval is unbounded.
func Mean(values []float64, level float64) Interval {
	out := Interval{N: len(values), Mean: stat.Mean(values, nil), Low: math.Inf(-1), High: math.Inf(1)}
	if len(values) < 2 {
		return out
	}
	out.SD = stat.StdDev(values, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.5 + level/2)
	halfWidth := t * out.SD / math.Sqrt(float64(len(values)))
	out.Low, out.High = out.Mean-halfWidth, out.Mean+halfWidth
	return out
}

// Paired returns the mean difference b - a of paired runs with its confidence interval. Influences that both runs of a pair
// have in common, such as the seed and the time of day, cancel out.
func Paired(a, b []float64, level float64) Interval {
	differences := make([]float64, min(len(a), len(b)))
	for i := range differences {
		differences[i] = b[i] - a[i]
	}
	return Mean(differences, level)
}

// ExcludesZero reports whether the interval does not contain 0.
func (i Interval) ExcludesZero() bool { return i.N > 1 && (i.Low > 0 || i.High < 0) }
