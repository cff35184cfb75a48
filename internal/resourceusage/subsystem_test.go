package resourceusage

import (
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

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
