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

// replace replaces the configuration file of the running node atomically.
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

// reload sends SIGHUP and waits for a log line with the given code.
func (p *nodeProcess) reload(code string) {
	p.t.Helper()
	logLines := func() int { return strings.Count(p.log.String(), `"code":"`+code+`"`) }
	before := logLines()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
	eventually(p.t, code, func() bool { return logLines() > before })
}

// Reloads change the address of discovery and change it back. The node must apply the list of the new address at once, although
// its revision is lower and the watch at the old address is still open.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, d := startWithBackends(t, "", s1)
	for range 5 {
		before := d.watchCount()
		d.announce(s1.member())
		eventually(t, "a higher revision", func() bool { return d.watchCount() > before })
	}
	replacement := startDiscoveryServer(t, members(s2))
	p.configure("discovery", replacement.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return replacement.watchCount() > 0 })
	if resp := p.mustDo(request("look", 1000)); resp.body != "two" {
		t.Errorf("request after the change of address: status %d, body %q, want \"two\"", resp.status, resp.body)
	}
	if n := p.counts().List["failed"]; n != 0 {
		t.Errorf("%d failed calls to discovery, want 0: the change of address was counted as a failure", n)
	}
	eventually(t, "the end of the old watch", func() bool { return d.cancelledWatches() > 0 })
	watchesBefore := d.watchCount()
	p.configure("discovery", d.addr)
	p.reload("reload")
	eventually(t, "the watch at the first address", func() bool { return d.watchCount() > watchesBefore })
	if resp := p.mustDo(request("look", 1000)); resp.body != "one" {
		t.Errorf("request after the change back: status %d, body %q, want \"one\"", resp.status, resp.body)
	}
}

// A reload changes the address of discovery to one where nothing listens. The node must keep the known servers.
func TestReloadKeepsServersWhileDiscoveryIsDown(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "one"))
	p, _ := startWithBackends(t, "", s)
	p.configure("discovery", freeAddress(t))
	p.reload("reload")
	eventually(t, "a failed call to discovery", func() bool { return p.counts().List["failed"] > 0 })
	if resp := p.mustDo(request("bill", 1000)); resp.status != 200 {
		t.Errorf("request while discovery does not answer: status %d, want 200", resp.status)
	}
}

// A reload changes the address of discovery in the subscribe mode. The node must poll the new address at once.
func TestReloadPollsNewDiscoveryInSubscribeMode(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, _ := startWithBackends(t, settings, s1)
	replacement := startDiscoveryServer(t, members(s2))
	p.configure("discovery", replacement.addr)
	p.reload("reload")
	eventually(t, "the new watch", func() bool { return replacement.watchCount() > 0 })
	if resp := p.mustDo(request("look", 1000)); resp.body != "two" {
		t.Errorf("request after the change of address: status %d, body %q, want \"two\"", resp.status, resp.body)
	}
}

// The configuration file is invalid in one of several ways and also has another discovery address. The node must apply nothing
// of it and name the invalid key in a log line. It must apply a valid file later.
func TestInvalidReloadChangesNothing(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "one"))
	p, d := startWithBackends(t, "", s)
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	otherDiscovery := startDiscoveryServer(t, members())
	validFile := strings.ReplaceAll(string(raw), d.addr, otherDiscovery.addr)
	for _, c := range []struct{ name, key, file string }{
		{"truncated file", "ROUTER_CONFIG", validFile[:len(validFile)/2]},
		{"empty", "ROUTER_CONFIG", ""},
		{"host name instead of an IP address", "ROUTER_DISCOVERY", strings.ReplaceAll(validFile, otherDiscovery.addr, "discovery.local:1")},
		{"settings without fleet_size", "fleet_size", strings.Replace(validFile, `"fleet_size":1,`, "", 1)},
		{"too few sockets", "limits.sockets", strings.Replace(validFile, `"sockets":256`, `"sockets":3`, 1)},
	} {
		p.replace(c.file)
		before := strings.Count(p.log.String(), "\n")
		p.reload("reload_failed")
		lines := strings.Split(p.log.String(), "\n")[before:]
		if !strings.Contains(strings.Join(lines, "\n"), c.key) {
			t.Errorf("%s: no log line names %s: %v", c.name, c.key, lines)
		}
	}
	if err := os.Rename(p.config, filepath.Join(t.TempDir(), "gone")); err != nil {
		t.Fatal(err)
	}
	p.reload("reload_failed")
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 || otherDiscovery.responseCount.Load() != 0 {
		t.Errorf("status %d, %d calls to the other discovery address, want 200 and 0", resp.status, otherDiscovery.responseCount.Load())
	}
	p.replace(validFile)
	p.reload("reload")
	eventually(t, "a call to the new discovery address", func() bool { return otherDiscovery.responseCount.Load() > 0 })
}

// A reload changes a limit that takes effect only after a restart. The node must name the key in a log line.
func TestReloadLogsKeysThatNeedRestart(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	p.configure("limits", map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256})
	p.reload("reload_restart")
	eventually(t, "the key in the log", func() bool { return strings.Contains(p.log.String(), `"keys":["limits"]`) })
}

// The node receives SIGHUP during a shutdown. It must not exit while a request is in flight.
func TestReloadDuringShutdownLosesNoRequest(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	inFlight := p.send(request("bill", 1500))
	eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
	p.terminate()
	eventually(t, "the drain in the log", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	p.reload("reload")
	close(gate)
	if resp := await(t, "request in flight", inFlight); resp.status != 200 {
		t.Errorf("request in flight: status %d, want 200", resp.status)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}
