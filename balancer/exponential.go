package balancer

import "math"

// Constants of exponential: ln 2 in two parts, whose sum is more precise than a float64, and the coefficients 1/2!, 1/3!, ... 1/8! of
// the Taylor series.
const (
	log2E     = 1.4426950408889634073599246810018920
	ln2Upper  = 0.69314718055966295651160180568695068359375
	ln2Lower  = 0.28235290563031577122588448175013436025525412068e-12
	taylor2   = 0.5
	taylor3   = 1.6666666666666666667e-1
	taylor4   = 4.1666666666666666667e-2
	taylor5   = 8.3333333333333333333e-3
	taylor6   = 1.3888888888888888889e-3
	taylor7   = 1.9841269841269841270e-4
	taylor8   = 2.4801587301587301587e-5
	reduction = 0.0625 // the argument is divided by 16, and the result squared four times
)

// exponential returns e to the power of x, bit for bit the same on every architecture, so that the same events lead to the same decisions
// everywhere. math.Exp differs in the last bit between amd64 and arm64. The method is that of math.Exp on amd64 with fused multiply-add:
// N. Shibata, "Efficient evaluation methods of elementary functions suitable for SIMD computation", ISC'10.
func exponential(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return math.Exp(x) // exact on every architecture
	}
	exponent := math.RoundToEven(x * log2E)
	x = math.FMA(-exponent, ln2Upper, x)
	x = math.FMA(-exponent, ln2Lower, x)
	x *= reduction
	series := math.FMA(x, taylor8, taylor7)
	series = math.FMA(series, x, taylor6)
	series = math.FMA(series, x, taylor5)
	series = math.FMA(series, x, taylor4)
	series = math.FMA(series, x, taylor3)
	series = math.FMA(series, x, taylor2)
	series = math.FMA(series, x, 1)
	x *= series // e to the power of x, minus 1
	x *= x + 2  // each step doubles the power: (y + 1)^2 - 1 = y (y + 2)
	x *= x + 2
	x *= x + 2
	return math.Ldexp(math.FMA(x+2, x, 1), int(exponent))
}
