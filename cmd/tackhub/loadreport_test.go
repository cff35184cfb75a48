package main

import (
	"testing"
)

// Servers report their load in responses to requests and to load probes. The node must count each report, and a report with
// unknown names as unknown.
func TestLoadReportsOfResponsesAndProbesAreCounted(t *testing.T) {
	report := "X-Load: TEXT inflight=1, queue=0, util=0.5"
	s1, s2 := startBackend(t, "s1", respond(200, "done", report)), startBackend(t, "s2", respond(200, "done", report))
	p, _ := startWithBackends(t, settingsWithLoadReports(), s1, s2)
	for range 5 {
		if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
			t.Fatalf("status %d, want 200", resp.status)
		}
	}
	eventually(t, "the end of a load probe", func() bool { return s1.probeCount()+s2.probeCount() > 0 && p.counts().Probes["open"] == 0 })
	got := p.counts()
	if got.Reports["read"] != got.Probes["sent"]+5 || got.Reports["unknown"] != 0 {
		t.Errorf("reports = %v, want one read report for each of 5 responses and each probe, probes = %v", got.Reports, got.Probes)
	}
	s1.setBehavior(respond(200, "done", "X-Load: TEXT weather=1"))
	s2.setBehavior(respond(200, "done", "X-Load: TEXT weather=1"))
	p.mustDo(request("look", 1000))
	if got := p.counts(); got.Reports["unknown"] != 1 {
		t.Errorf("reports = %v, want 1 unknown", got.Reports)
	}
}
