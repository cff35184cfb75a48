package resourceusage

import (
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

func TestParseChecksVitalsOptions(t *testing.T) {
	sections := []operator.Section{Subsystem().Section}
	for text, valid := range map[string]bool{
		"[vitals]\n": true,
		"[vitals]\nevery = \"1s\"\nmemory_warn = 0.0\n":            true,
		"[vitals]\nevery = \"500ms\"\n":                            false,
		"[vitals]\nmemory_warn = 1.5\n":                            false,
		"[vitals]\nevery = \"10s\"\ndescriptors_warn = \"nine\"\n": false,
	} {
		if _, err := operator.Parse("edge.toml", text, sections); (err == nil) != valid {
			t.Errorf("Parse(%q) error = %v, want valid = %v", text, err, valid)
		}
	}
}
