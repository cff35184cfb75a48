// Package stats has the few statistics by which two arms of an experiment are compared. It is pure.
package stats

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is a mean with its confidence interval.
type Interval struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	SD   float64 `json:"sd"`
}

// Mean is the mean of some runs' figures with the interval that holds the true mean at a level such as 0.95, by
// Student's t. With fewer than two figures the interval is without bounds.
func Mean(x []float64, level float64) Interval {
	out := Interval{N: len(x), Mean: stat.Mean(x, nil), Low: math.Inf(-1), High: math.Inf(1)}
	if len(x) < 2 {
		return out
	}
	out.SD = stat.StdDev(x, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.5 + level/2)
	half := t * out.SD / math.Sqrt(float64(len(x)))
	out.Low, out.High = out.Mean-half, out.Mean+half
	return out
}

// Paired is the mean difference b - a of runs that were made in pairs, so that what both arms had in common, such as
// the seed and the hour, drops out.
func Paired(a, b []float64, level float64) Interval {
	d := make([]float64, min(len(a), len(b)))
	for i := range d {
		d[i] = b[i] - a[i]
	}
	return Mean(d, level)
}

// ExcludesZero reports whether the interval leaves zero out.
func (i Interval) ExcludesZero() bool { return i.N > 1 && (i.Low > 0 || i.High < 0) }
