package resourceusage

import (
	"slices"
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

func TestWarningsBeginOnceAndEndBelowTheBound(t *testing.T) {
	b := Thresholds{Resident: 1000, Descriptors: 100}
	standing := map[string]bool{}
	for i, c := range []struct {
		r          Reading
		begin, end []string
	}{
		{Reading{Resident: 1000, Descriptors: 100}, nil, nil}, // at the bound is not beyond it
		{Reading{Resident: 1001, Descriptors: 50}, []string{CodeMemory}, nil},
		{Reading{Resident: 2000, Descriptors: 101}, []string{CodeDescriptors}, nil},
		{Reading{Resident: 950, Descriptors: 95}, nil, nil},
		{Reading{Resident: 899, Descriptors: 95}, nil, []string{CodeMemory}},
		{Reading{Resident: 1001, Descriptors: 0}, []string{CodeMemory}, []string{CodeDescriptors}},
	} {
		begin, end := Evaluate(c.r, b, standing)
		if !slices.Equal(begin, c.begin) || !slices.Equal(end, c.end) {
			t.Errorf("step %d: begins %v, ends %v, want %v and %v", i, begin, end, c.begin, c.end)
		}
		for _, code := range begin {
			standing[code] = true
		}
		for _, code := range end {
			delete(standing, code)
		}
	}
	if begin, _ := Evaluate(Reading{Resident: 1 << 40, Descriptors: 1 << 20}, Thresholds{}, nil); begin != nil {
		t.Errorf("without bounds: %v", begin)
	}
}

func TestMeasureSeesItself(t *testing.T) {
	if r := Measure(); r.Resident < 1<<20 || r.Heap <= 0 || r.Goroutines < 1 || r.Descriptors < 3 {
		t.Errorf("reading %+v", r)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	s := []operator.Section{Subsystem().Section}
	for text, good := range map[string]bool{
		"[vitals]\n": true,
		"[vitals]\nevery = \"1s\"\nmemory_warn = 0.0\n":            true,
		"[vitals]\nevery = \"500ms\"\n":                            false,
		"[vitals]\nmemory_warn = 1.5\n":                            false,
		"[vitals]\nevery = \"10s\"\ndescriptors_warn = \"nine\"\n": false,
	} {
		if _, err := operator.Parse("edge.toml", text, s); (err == nil) != good {
			t.Errorf("%q: %v", text, err)
		}
	}
}
