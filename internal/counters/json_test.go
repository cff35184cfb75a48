package counters

import (
	"bytes"
	"encoding/json"
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

// Guards against a renamed or removed counter: every key of a version before the counters of the applied list must still be there,
// with a value of the same type.
func TestJSONKeepsKeysOfEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile("testdata/counters-03663e4.json")
	if err != nil {
		t.Fatal(err)
	}
	c := Counters{Operations: Operations{"look": &Operation{}}}
	c.Outcomes.Inc("served")
	var earlier, current map[string]map[string]any
	if err := json.Unmarshal(raw, &earlier); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(c.JSON(), &current); err != nil {
		t.Fatal(err)
	}
	for group, keys := range earlier {
		for key, want := range keys {
			got, found := current[group][key]
			_, wantNumber := want.(float64)
			_, gotNumber := got.(float64)
			if !found || wantNumber != gotNumber {
				t.Errorf("%s.%s = %v, want a value like %v", group, key, got, want)
			}
		}
	}
}
