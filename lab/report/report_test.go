package report

import (
	"strings"
	"testing"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/experiment"
)

// The page template refers to fields of the result by name, which the compiler does not check. After a rename of a field,
// every run would end with an error instead of a report.
func TestPageShowsVerdictAndReasons(t *testing.T) {
	r := &experiment.Result{Scenario: "small", Verdict: experiment.VerdictFailed, InvalidReason: "cut off", Unmet: []string{"worth 0.5"},
		Breaches: []audit.Breach{{Rule: audit.RuleUnanswered, Text: "never answered"}}, Marks: []experiment.Mark{{At: 1, Text: "crash s001"}},
		Seconds: []experiment.Second{{Requests: 2, Goodput: 0.5, P50: 1, P99: 2}}}
	page, err := Page(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Void: cut off", "Short: worth 0.5", "never answered", "crash s001", "<svg"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("page does not contain %q", want)
		}
	}
}
