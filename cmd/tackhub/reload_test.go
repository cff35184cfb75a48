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
func (p *nodeProcess) configure(key string, value any) {
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

// replace replaces the configuration file.
func (p *nodeProcess) replace(raw string) {
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
func (p *nodeProcess) reload(code string) {
	p.t.Helper()
	said := func() int { return strings.Count(p.log.String(), `"code":"`+code+`"`) }
	before := said()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
	eventually(p.t, code, func() bool { return said() > before })
}

// Discovery moves to another address and back. The revisions at the new address are lower, and the old one still holds
// the node's watch; neither may keep the new list out.
func TestReloadFollowsDiscovery(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, d := startWithBackends(t, "", s1)
	for range 5 {
		before := d.watchCount()
		d.announce(s1.member())
		eventually(t, "a higher revision", func() bool { return d.watchCount() > before })
	}
	next := startDiscoveryServer(t, members(s2))
	p.configure("discovery", next.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return next.watchCount() > 0 })
	if a := p.mustDo(request("look", 1000)); a.body != "two" {
		t.Errorf("%d %q after the move", a.status, a.body)
	}
	if n := p.counts().List["failed"]; n != 0 {
		t.Errorf("%d failed calls: the move was taken for an outage", n)
	}
	eventually(t, "the end of the old watch", func() bool { return d.endedWatches() > 0 })
	old := d.watchCount()
	p.configure("discovery", d.addr)
	p.reload("reload")
	eventually(t, "the watch at the first address", func() bool { return d.watchCount() > old })
	if a := p.mustDo(request("look", 1000)); a.body != "one" {
		t.Errorf("%d %q after moving back", a.status, a.body)
	}
}

// Discovery moves to an address at which nobody answers. The known servers stay.
func TestReloadKeepsServersWhileDiscoveryIsDown(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "one"))
	p, _ := startWithBackends(t, "", s)
	p.configure("discovery", freeAddress(t))
	p.reload("reload")
	eventually(t, "a failed call", func() bool { return p.counts().List["failed"] > 0 })
	if a := p.mustDo(request("bill", 1000)); a.status != 200 {
		t.Errorf("status %d while discovery does not answer", a.status)
	}
}

// A subscribed discovery moves. The node polls the new one without being asked.
func TestReloadWithSubscribedDiscovery(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, _ := startWithBackends(t, settings, s1)
	next := startDiscoveryServer(t, members(s2))
	p.configure("discovery", next.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return next.watchCount() > 0 })
	if a := p.mustDo(request("look", 1000)); a.body != "two" {
		t.Errorf("%d %q after the move", a.status, a.body)
	}
}

// The configuration file is invalid in one of several ways and names another discovery as well. Nothing of it is
// applied, a log line names the key, and a good file is applied later.
func TestInvalidReloadChangesNothing(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "one"))
	p, d := startWithBackends(t, "", s)
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	elsewhere := startDiscoveryServer(t, members())
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
	if a := p.mustDo(request("look", 1000)); a.status != 200 || elsewhere.answered.Load() != 0 {
		t.Errorf("status %d, %d calls to another discovery", a.status, elsewhere.answered.Load())
	}
	p.replace(good)
	p.reload("reload")
	eventually(t, "the good file at last", func() bool { return elsewhere.answered.Load() > 0 })
}

// A reload changes a limit that needs a restart. A log line names the key.
func TestReloadNamesKeysThatNeedRestart(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	p.configure("limits", map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256})
	p.reload("reload_restart")
	eventually(t, "the key", func() bool { return strings.Contains(p.log.String(), `"keys":["limits"]`) })
}

// SIGHUP comes during a shutdown. It must not end the node while a request is in flight.
func TestReloadDuringShutdown(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	inFlight := p.send(request("bill", 1500))
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	p.reload("reload")
	close(gate)
	if a := await(t, "in flight", inFlight); a.status != 200 {
		t.Errorf("in flight: %d", a.status)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
