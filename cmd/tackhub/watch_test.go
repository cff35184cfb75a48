package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestWatchCountsWhatOthersWouldDo watches the settings in force, then others, then a file that can't be taken.
func TestWatchCountsWhatOthersWouldDo(t *testing.T) {
	s := startServer(t, "s1", say(500, "no"))
	p, _ := startWith(t, "", s)
	p.configure("watch", write(t, "same.json", testSettings))
	p.reload("reload")
	for range 3 {
		p.mustAsk(request("look", 1000))
	}
	if got := p.counts().Watch; got.Steps == 0 || len(got.Differ) != 0 {
		t.Fatalf("the same settings: %d steps, %v", got.Steps, got.Differ)
	}
	single := strings.Replace(testSettings, `"effect":"free"`, `"effect":"single_shot"`, 1)
	p.configure("watch", write(t, "single.json", single))
	p.reload("reload")
	if a := p.mustAsk(request("look", 1000)); a.status != 503 {
		t.Errorf("status %d: the settings watched decided", a.status)
	}
	if got := p.counts().Watch.Differ["failed"]; got == 0 {
		t.Error("a request refused that the other settings would fail is not counted")
	}
	bad := write(t, "bad.json", strings.Replace(testSettings, `"goal":{"whole":1}`, `"goal":{"whole":1,"nines_wanted":0}`, 1))
	before := p.counts().Watch.Steps
	p.configure("watch", bad)
	p.reload("reload_failed")
	if !strings.Contains(p.log.String(), "goal.nines_wanted") {
		t.Error("no line names the key that is wrong")
	}
	if p.mustAsk(request("look", 1000)); p.counts().Watch.Steps <= before {
		t.Error("a bad file ended the watch that was on")
	}
}

// TestNodesTalkOnlyWhereConfigured starts two nodes with addresses and one without.
func TestNodesTalkOnlyWhereConfigured(t *testing.T) {
	s := startServer(t, "s1", say(200, "ok"))
	d := startDiscovery(t, members(s))
	nodes := []string{freeAddress(t), freeAddress(t)}
	talking := strings.Replace(withReports(), `"fleet_size":1`, `"fleet_size":2`, 1)
	talking = strings.Replace(talking, `"may_cancel":true`, `"may_cancel":true,"peers":true`, 1)
	second := strings.Replace(talking, `"me":0`, `"me":1`, 1)
	one := startNode(t, setup{discovery: d.addr, settings: talking, peers: nodes})
	two := startNode(t, setup{discovery: d.addr, settings: second, peers: nodes})
	eventually(t, "a message between the nodes", func() bool {
		one.mustAsk(request("look", 1000))
		return two.counts().Peers.Taken > 0
	})
	quiet, _ := startWith(t, "", s)
	quiet.mustAsk(request("look", 1000))
	if got := quiet.counts().Peers; got.Sent != 0 || got.Taken != 0 {
		t.Errorf("a node without addresses talked: %+v", got)
	}
}
