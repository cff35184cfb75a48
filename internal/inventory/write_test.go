package inventory

import (
	"fmt"
	"testing"
)

// A list that is written and parsed again must be unchanged in both formats. Diff reports changes by field.
func TestWriteParseRoundTripAndDiff(t *testing.T) {
	servers := wantCSV()
	for name, raw := range map[string][]byte{"a.csv": WriteCSV(servers), "a.yaml": WriteYAML(servers)} {
		l, err := Parse(name, raw, Options{Trailer: true})
		if err != nil {
			t.Fatalf("%s: %v\n%s", name, err, raw)
		}
		if d := Diff(servers, l.Servers); len(d) > 0 {
			t.Errorf("%s: changes after the round trip = %v, want none\n%s", name, d, raw)
		}
	}
	other := wantCSV()[1:]
	other[0].Pod = "9"
	other = append(other, Server{ID: "new"})
	got := fmt.Sprint(Diff(servers, other))
	if got != `[added new changed no: pod from "8" to "9" removed s1]` {
		t.Errorf("changes = %s, want new added, the pod of no changed and s1 removed", got)
	}
}
