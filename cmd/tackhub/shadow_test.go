package main

import (
	"strings"
	"testing"
)

// A node evaluates shadow settings. Settings equal to its own must show no difference. Different ones must be counted where they
// decide differently, without an effect on requests. An invalid file must not end the running shadow evaluation.
func TestShadowEvaluation(t *testing.T) {
	s := startBackend(t, "s1", respond(500, "no"))
	p, _ := startWithBackends(t, "", s)
	p.configure("watch", writeTempFile(t, "same.json", testSettings))
	p.reload("reload")
	for range 3 {
		p.mustDo(request("look", 1000))
	}
	if got := p.counts().Shadow; got.Steps == 0 || len(got.Differ) != 0 {
		t.Fatalf("equal settings: %d steps, differences %v, want at least 1 step and no difference", got.Steps, got.Differ)
	}
	single := strings.Replace(testSettings, `"effect":"free"`, `"effect":"single_shot"`, 1)
	p.configure("watch", writeTempFile(t, "single.json", single))
	p.reload("reload")
	if resp := p.mustDo(request("look", 1000)); resp.status != 503 {
		t.Errorf("status %d, want 503: the shadow settings affected the request", resp.status)
	}
	if got := p.counts().Shadow.Differ["failed"]; got == 0 {
		t.Error("difference \"failed\" = 0, want at least 1: the shadow settings fail a request that the node rejects")
	}
	invalid := writeTempFile(t, "bad.json", strings.Replace(testSettings, `"goal":{"whole":1}`, `"goal":{"whole":1,"nines_wanted":0}`, 1))
	before := p.counts().Shadow.Steps
	p.configure("watch", invalid)
	p.reload("reload_failed")
	if !strings.Contains(p.log.String(), "goal.nines_wanted") {
		t.Error("no log line names the invalid key goal.nines_wanted")
	}
	if p.mustDo(request("look", 1000)); p.counts().Shadow.Steps <= before {
		t.Error("the invalid file ended the running shadow evaluation")
	}
}
