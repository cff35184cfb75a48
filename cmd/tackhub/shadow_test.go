package main

import (
	"strings"
	"testing"
)

// A node evaluates other settings beside its own. The same settings differ in nothing, others are counted where they
// would decide otherwise but decide nothing, and an invalid file leaves the running evaluation on.
func TestShadowEvaluation(t *testing.T) {
	s := startBackend(t, "s1", respond(500, "no"))
	p, _ := startWithBackends(t, "", s)
	p.configure("watch", writeTempFile(t, "same.json", testSettings))
	p.reload("reload")
	for range 3 {
		p.mustDo(request("look", 1000))
	}
	if got := p.counts().Watch; got.Steps == 0 || len(got.Differ) != 0 {
		t.Fatalf("the same settings: %d steps, %v", got.Steps, got.Differ)
	}
	single := strings.Replace(testSettings, `"effect":"free"`, `"effect":"single_shot"`, 1)
	p.configure("watch", writeTempFile(t, "single.json", single))
	p.reload("reload")
	if a := p.mustDo(request("look", 1000)); a.status != 503 {
		t.Errorf("status %d: the settings watched decided", a.status)
	}
	if got := p.counts().Watch.Differ["failed"]; got == 0 {
		t.Error("a request that is rejected here and failed by the other settings is not counted")
	}
	bad := writeTempFile(t, "bad.json", strings.Replace(testSettings, `"goal":{"whole":1}`, `"goal":{"whole":1,"nines_wanted":0}`, 1))
	before := p.counts().Watch.Steps
	p.configure("watch", bad)
	p.reload("reload_failed")
	if !strings.Contains(p.log.String(), "goal.nines_wanted") {
		t.Error("no line names the key that is wrong")
	}
	if p.mustDo(request("look", 1000)); p.counts().Watch.Steps <= before {
		t.Error("a bad file ended the watch that was on")
	}
}
