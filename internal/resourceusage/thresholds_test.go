package resourceusage

import (
	"slices"
	"testing"
)

// A reading that stays above a threshold is one warning, and one that swings around it is still the same warning: it ends only
// below nine tenths of the threshold.
func TestWarningsBeginOnceAndEndBelowTheThreshold(t *testing.T) {
	thresholds := Thresholds{Resident: 1000, Descriptors: 100}
	active := map[string]bool{}
	for i, c := range []struct {
		reading    Reading
		begin, end []string
	}{
		{Reading{Resident: 1000, Descriptors: 100}, nil, nil}, // at the threshold is not above it
		{Reading{Resident: 1001, Descriptors: 50}, []string{CodeMemory}, nil},
		{Reading{Resident: 2000, Descriptors: 101}, []string{CodeDescriptors}, nil},
		{Reading{Resident: 950, Descriptors: 95}, nil, nil},
		{Reading{Resident: 899, Descriptors: 95}, nil, []string{CodeMemory}},
		{Reading{Resident: 1001, Descriptors: 0}, []string{CodeMemory}, []string{CodeDescriptors}},
	} {
		begin, end := Evaluate(c.reading, thresholds, active)
		if !slices.Equal(begin, c.begin) || !slices.Equal(end, c.end) {
			t.Errorf("step %d: begins %v, ends %v, want %v and %v", i, begin, end, c.begin, c.end)
		}
		for _, code := range begin {
			active[code] = true
		}
		for _, code := range end {
			delete(active, code)
		}
	}
	if begin, _ := Evaluate(Reading{Resident: 1 << 40, Descriptors: 1 << 20}, Thresholds{}, nil); begin != nil {
		t.Errorf("without thresholds: %v", begin)
	}
}
