package resourceusage

// Reading is what a node measures of itself.
type Reading struct {
	Resident    int64 // bytes that the kernel counts
	Heap        int64 // bytes of live and dead objects
	Goroutines  int
	Descriptors int // open descriptors of all kinds
}

// Bounds are where a reading becomes a warning.
type Thresholds struct {
	Resident    int64 // bytes; 0: never
	Descriptors int   // 0: never
}

// The reason codes of warnings.
const (
	CodeMemory      = "vitals_memory"
	CodeDescriptors = "vitals_descriptors"
)

// back is the share of a bound below which a warning ends: a reading that swings around the bound is one warning, not one
// at every reading.
const back = 0.9

// Judge tells which warnings begin and which end, given those that stand. It is pure.
func Evaluate(r Reading, b Thresholds, standing map[string]bool) (begin, end []string) {
	for _, c := range []struct {
		code         string
		value, bound float64
	}{
		{CodeMemory, float64(r.Resident), float64(b.Resident)},
		{CodeDescriptors, float64(r.Descriptors), float64(b.Descriptors)},
	} {
		switch {
		case c.bound > 0 && c.value > c.bound && !standing[c.code]:
			begin = append(begin, c.code)
		case standing[c.code] && (c.bound <= 0 || c.value < c.bound*back):
			end = append(end, c.code)
		}
	}
	return begin, end
}
