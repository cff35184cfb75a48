package resourceusage

import (
	"slices"
	"testing"
)

// Usage that stays above a threshold or oscillates around it causes one warning. The warning ends only below nine tenths of the
// threshold.
func TestEvaluateWarnsOnceUntilBelowClearFraction(t *testing.T) {
	thresholds := Thresholds{ResidentBytes: 1000, Descriptors: 100}
	active := map[string]bool{}
	for i, c := range []struct {
		reading    Reading
		begin, end []string
	}{
		{Reading{ResidentBytes: 1000, Descriptors: 100}, nil, nil}, // equal to the thresholds, not above them
		{Reading{ResidentBytes: 1001, Descriptors: 50}, []string{CodeMemory}, nil},
		{Reading{ResidentBytes: 2000, Descriptors: 101}, []string{CodeDescriptors}, nil},
		{Reading{ResidentBytes: 950, Descriptors: 95}, nil, nil},
		{Reading{ResidentBytes: 899, Descriptors: 95}, nil, []string{CodeMemory}},
		{Reading{ResidentBytes: 1001, Descriptors: 0}, []string{CodeMemory}, []string{CodeDescriptors}},
	} {
		begin, end := Evaluate(c.reading, thresholds, active)
		if !slices.Equal(begin, c.begin) || !slices.Equal(end, c.end) {
			t.Errorf("step %d: begin = %v, end = %v, want %v and %v", i, begin, end, c.begin, c.end)
		}
		for _, code := range begin {
			active[code] = true
		}
		for _, code := range end {
			delete(active, code)
		}
	}
	if begin, _ := Evaluate(Reading{ResidentBytes: 1 << 40, Descriptors: 1 << 20}, Thresholds{}, nil); begin != nil {
		t.Errorf("without thresholds: begin = %v, want none", begin)
	}
}
