package inventory

import (
	"fmt"
	"testing"
)

// What is written is read as it was, in both forms, and differences are found by field.
func TestWrittenAndReadAgain(t *testing.T) {
	servers := wantCSV()
	for name, raw := range map[string][]byte{"a.csv": WriteCSV(servers), "a.yaml": WriteYAML(servers)} {
		l, err := Parse(name, raw, Options{Trailer: true})
		if err != nil {
			t.Fatalf("%s: %v\n%s", name, err, raw)
		}
		if d := Diff(servers, l.Servers); len(d) > 0 {
			t.Errorf("%s: %v\n%s", name, d, raw)
		}
	}
	other := wantCSV()[1:]
	other[0].Pod = "9"
	other = append(other, Server{ID: "new"})
	got := fmt.Sprint(Diff(servers, other))
	if got != `[added new changed no: pod from "8" to "9" removed s1]` {
		t.Errorf("differences %s", got)
	}
}
