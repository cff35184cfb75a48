package resourceusage

import "testing"

func TestMeasure(t *testing.T) {
	if r := Measure(); r.Resident < 1<<20 || r.Heap <= 0 || r.Goroutines < 1 || r.Descriptors < 3 {
		t.Errorf("reading %+v", r)
	}
}
