package main

import (
	"testing"
)

// Servers report their load in responses and to load probes. Each report is counted, and one with unknown names as
// such.
func TestLoadReportsAndProbes(t *testing.T) {
	report := "X-Load: TEXT inflight=1, queue=0, util=0.5"
	s1, s2 := startBackend(t, "s1", respond(200, "done", report)), startBackend(t, "s2", respond(200, "done", report))
	p, _ := startWithBackends(t, withReports(), s1, s2)
	for range 5 {
		if a := p.mustDo(request("look", 1000)); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	eventually(t, "probes", func() bool { return s1.probeCount()+s2.probeCount() > 0 && p.counts().Probes["open"] == 0 })
	got := p.counts()
	if got.Reports["read"] != got.Probes["sent"]+5 || got.Reports["unknown"] != 0 {
		t.Errorf("reports %v for %v probes and 5 answers", got.Reports, got.Probes)
	}
	s1.setBehavior(respond(200, "done", "X-Load: TEXT weather=1"))
	s2.setBehavior(respond(200, "done", "X-Load: TEXT weather=1"))
	p.mustDo(request("look", 1000))
	if got := p.counts(); got.Reports["unknown"] != 1 {
		t.Errorf("reports %v, want one not understood", got.Reports)
	}
}
