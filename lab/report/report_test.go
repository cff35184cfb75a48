package report

import (
	"strings"
	"testing"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/experiment"
)

// The page's template names the result's fields, and no compiler checks those names. A renamed field would end every run with
// an error in place of its report.
func TestPageShowsVerdictAndReasons(t *testing.T) {
	r := &experiment.Result{Scenario: "small", Verdict: experiment.VerdictShort, VoidReason: "cut off", Unmet: []string{"worth 0.5"},
		Breaches: []audit.Breach{{Rule: audit.RuleUnanswered, Text: "never answered"}}, Marks: []experiment.Mark{{At: 1, Text: "crash s001"}},
		Seconds: []experiment.Second{{Asked: 2, Worth: 0.5, P50: 1, P99: 2}}}
	page, err := Page(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Void: cut off", "Short: worth 0.5", "never answered", "crash s001", "<svg"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page does not show %q", want)
		}
	}
}
