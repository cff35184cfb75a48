package counters

import (
	"bytes"
	"os"
	"testing"
)

// Guards against changes of the two JSON objects, which operators' tools read. The files under
// testdata contain the output of a released version.
func TestJSONMatchesReleasedFormat(t *testing.T) {
	c := Counters{Operations: Operations{"look": &Operation{}}}
	c.Outcomes.Inc("served")
	for file, got := range map[string][]byte{"counters.json": c.JSON(), "summary.json": c.AdminSummary()} {
		want, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: wrote %s, want %s", file, got, want)
		}
	}
}
