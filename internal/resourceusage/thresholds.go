package resourceusage

// Thresholds are the values above which a reading causes a warning. The zero value disables all warnings.
type Thresholds struct {
	ResidentBytes int64 // 0 disables the warning
	Descriptors   int   // 0 disables the warning
}

// Log codes of the warnings. The end of a warning is logged under its code with "_over" appended.
const (
	CodeMemory      = "vitals_memory"      // resident memory
	CodeDescriptors = "vitals_descriptors" // open descriptors
)

// clearFraction is the fraction of a threshold below which a warning ends. Without this hysteresis a value that oscillates around
// the threshold would log a warning at every reading.
const clearFraction = 0.9

// Evaluate returns the codes of the warnings that begin and of those that end with a reading. active holds the codes of the
// current warnings. Evaluate has no side effects.
func Evaluate(r Reading, t Thresholds, active map[string]bool) (begin, end []string) {
	for _, c := range []struct {
		code             string
		value, threshold float64
	}{
		{CodeMemory, float64(r.ResidentBytes), float64(t.ResidentBytes)},
		{CodeDescriptors, float64(r.Descriptors), float64(t.Descriptors)},
	} {
		exceeded := c.threshold > 0 && c.value > c.threshold
		cleared := c.threshold <= 0 || c.value < c.threshold*clearFraction
		switch {
		case exceeded && !active[c.code]:
			begin = append(begin, c.code)
		case cleared && active[c.code]:
			end = append(end, c.code)
		}
	}
	return begin, end
}
