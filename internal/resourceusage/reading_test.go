package resourceusage

import "testing"

func TestMeasure(t *testing.T) {
	if r := Measure(); r.ResidentBytes < 1<<20 || r.HeapBytes <= 0 || r.Goroutines < 1 || r.Descriptors < 3 {
		t.Errorf("Measure = %+v, want at least 1 MiB resident, a heap, 1 goroutine and 3 descriptors", r)
	}
}
