package resourceusage

// Thresholds are where a reading becomes a warning. The zero value warns of nothing.
type Thresholds struct {
	Resident    int64 // bytes; 0: never
	Descriptors int   // 0: never
}

// The log codes of warnings. The end of one is logged under its code with "_over" appended.
const (
	CodeMemory      = "vitals_memory"      // resident memory
	CodeDescriptors = "vitals_descriptors" // open descriptors
)

// clearShare is the share of a threshold below which a warning ends. Without the gap a reading that swings around the
// threshold would log a warning at every reading.
const clearShare = 0.9

// Evaluate gives the codes of the warnings that begin and of those that end with a reading, given the active ones. It is pure.
func Evaluate(r Reading, t Thresholds, active map[string]bool) (begin, end []string) {
	for _, c := range []struct {
		code             string
		value, threshold float64
	}{
		{CodeMemory, float64(r.Resident), float64(t.Resident)},
		{CodeDescriptors, float64(r.Descriptors), float64(t.Descriptors)},
	} {
		exceeded := c.threshold > 0 && c.value > c.threshold
		cleared := c.threshold <= 0 || c.value < c.threshold*clearShare
		switch {
		case exceeded && !active[c.code]:
			begin = append(begin, c.code)
		case cleared && active[c.code]:
			end = append(end, c.code)
		}
	}
	return begin, end
}
