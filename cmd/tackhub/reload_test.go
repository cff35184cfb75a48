package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// configure changes one key of the running node's configuration file.
func (p *process) configure(key string, value any) {
	p.t.Helper()
	raw, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	conf := map[string]any{}
	if err := json.Unmarshal(raw, &conf); err != nil {
		p.t.Fatal(err)
	}
	conf[key] = value
	if raw, err = json.Marshal(conf); err != nil {
		p.t.Fatal(err)
	}
	p.replace(string(raw))
}

// replace puts another configuration file in place of the one that is there.
func (p *process) replace(raw string) {
	p.t.Helper()
	next := p.config + ".next"
	if err := os.WriteFile(next, []byte(raw), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(next, p.config); err != nil {
		p.t.Fatal(err)
	}
}

// reload sends SIGHUP and waits for the log line that it leaves.
func (p *process) reload(code string) {
	p.t.Helper()
	said := func() int { return strings.Count(p.log.String(), `"code":"`+code+`"`) }
	before := said()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
	eventually(p.t, code, func() bool { return said() > before })
}

// TestReloadFollowsDiscovery moves discovery twice. At the new address the revisions are lower, which must not keep
// the new list out, and the old one holds the node's watch, which must not keep it either.
func TestReloadFollowsDiscovery(t *testing.T) {
	s1, s2 := startServer(t, "s1", say(200, "one")), startServer(t, "s2", say(200, "two"))
	p, d := startWith(t, "", s1)
	for range 5 {
		before := d.watched()
		d.tell(s1.member())
		eventually(t, "a higher revision", func() bool { return d.watched() > before })
	}
	next := startDiscovery(t, members(s2))
	p.configure("discovery", next.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return next.watched() > 0 })
	if a := p.mustAsk(request("look", 1000)); a.body != "two" {
		t.Errorf("%d %q after the move", a.status, a.body)
	}
	if n := p.counts().List["failed"]; n != 0 {
		t.Errorf("%d failed calls: the move was taken for an outage", n)
	}
	eventually(t, "the end of the old watch", func() bool { return d.ended() > 0 })
	old := d.watched()
	p.configure("discovery", d.addr)
	p.reload("reload")
	eventually(t, "the watch at the first address", func() bool { return d.watched() > old })
	if a := p.mustAsk(request("look", 1000)); a.body != "one" {
		t.Errorf("%d %q after moving back", a.status, a.body)
	}
}

// TestReloadKeepsServersMeanwhile moves discovery to where nobody answers: the servers that are known stay.
func TestReloadKeepsServersMeanwhile(t *testing.T) {
	s := startServer(t, "s1", say(200, "one"))
	p, _ := startWith(t, "", s)
	p.configure("discovery", freeAddress(t))
	p.reload("reload")
	eventually(t, "a failed call", func() bool { return p.counts().List["failed"] > 0 })
	if a := p.mustAsk(request("bill", 1000)); a.status != 200 {
		t.Errorf("status %d while discovery does not answer", a.status)
	}
}

// TestReloadOfAListThatMustBeAskedFor needs no second asking.
func TestReloadOfAListThatMustBeAskedFor(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s1, s2 := startServer(t, "s1", say(200, "one")), startServer(t, "s2", say(200, "two"))
	p, _ := startWith(t, settings, s1)
	next := startDiscovery(t, members(s2))
	p.configure("discovery", next.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return next.watched() > 0 })
	if a := p.mustAsk(request("look", 1000)); a.body != "two" {
		t.Errorf("%d %q after the move", a.status, a.body)
	}
}

// TestBadReloadChangesNothing tries files that can't be taken, each of which names another discovery as well.
func TestBadReloadChangesNothing(t *testing.T) {
	s := startServer(t, "s1", say(200, "one"))
	p, d := startWith(t, "", s)
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	elsewhere := startDiscovery(t, members())
	good := strings.ReplaceAll(string(raw), d.addr, elsewhere.addr)
	for _, c := range []struct{ name, key, file string }{
		{"half written", "ROUTER_CONFIG", good[:len(good)/2]},
		{"empty", "ROUTER_CONFIG", ""},
		{"a name to look up", "ROUTER_DISCOVERY", strings.ReplaceAll(good, elsewhere.addr, "discovery.local:1")},
		{"impossible settings", "fleet_size", strings.Replace(good, `"fleet_size":1,`, "", 1)},
		{"impossible limits", "limits.sockets", strings.Replace(good, `"sockets":256`, `"sockets":3`, 1)},
	} {
		p.replace(c.file)
		before := strings.Count(p.log.String(), "\n")
		p.reload("reload_failed")
		lines := strings.Split(p.log.String(), "\n")[before:]
		if !strings.Contains(strings.Join(lines, "\n"), c.key) {
			t.Errorf("%s: no line names %s: %v", c.name, c.key, lines)
		}
	}
	if err := os.Rename(p.config, filepath.Join(t.TempDir(), "gone")); err != nil {
		t.Fatal(err)
	}
	p.reload("reload_failed")
	if a := p.mustAsk(request("look", 1000)); a.status != 200 || elsewhere.answered.Load() != 0 {
		t.Errorf("status %d, %d calls to another discovery", a.status, elsewhere.answered.Load())
	}
	p.replace(good)
	p.reload("reload")
	eventually(t, "the good file at last", func() bool { return elsewhere.answered.Load() > 0 })
}

// TestReloadNamesWhatNeedsARestart changes a limit beside discovery.
func TestReloadNamesWhatNeedsARestart(t *testing.T) {
	p := startNode(t, setup{discovery: freeAddress(t)})
	p.configure("limits", map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256})
	p.reload("reload_restart")
	eventually(t, "the key", func() bool { return strings.Contains(p.log.String(), `"keys":["limits"]`) })
}

// TestReloadDuringADrain must not end the node with a request in hand.
func TestReloadDuringADrain(t *testing.T) {
	gate := make(chan struct{})
	s := startServer(t, "s1", after(gate, say(200, "done")))
	p, _ := startWith(t, "", s)
	inHand := p.send(request("bill", 1500))
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	p.reload("reload")
	close(gate)
	if a := wait(t, "in hand", inHand); a.status != 200 {
		t.Errorf("in hand: %d", a.status)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
