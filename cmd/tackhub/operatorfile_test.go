package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Each command of the program has its output and exit code, and a check names every fault with file, line and key.
func TestCommandLine(t *testing.T) {
	env := environment(t, "127.0.0.1:8081", nodeOptions{discovery: "127.0.0.1:8500"})
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[vitals]\nevery = \"30s\"\n")
	bad := filepath.Join(t.TempDir(), "bad.toml")
	writeFile(t, bad, "[vitals]\nevery = 30\nmemory = 1\n")
	conf := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, conf, "{\n \"name\": \"n0\",\n \"listen\": \"127.0.0.1:1\",\n \"discovery\": \"here\",\n \"seed\": \"xyz\",\n"+
		" \"limits\": {\n  \"cores\": 0,\n  \"memory_mb\": 1,\n  \"sockets\": 100}\n}\n")
	for _, c := range []struct {
		name string
		env  []string
		args []string
		code int
		want []string
	}{
		{"a good check", env, []string{"check", "--edge", edge}, 0, []string{"127.0.0.1:8081", "[vitals] on: counters = false", "every = 30s", "look"}},
		{"the variable", append(env, "TACKHUB_EDGE="+edge), []string{"check"}, 0, []string{"every = 30s"}},
		{"no operator file", env, []string{"check"}, 0, []string{"no operator file", "[vitals] off"}},
		{"faults of both files", []string{"ROUTER_CONFIG=" + conf}, []string{"check", "--edge", bad}, 1, []string{
			conf + ":4: ", "ROUTER_DISCOVERY", conf + ":5: seed", conf + ":7: limits.cores", "settings is missing",
			bad + ":2: vitals.every", bad + ":3: vitals.memory", "6 faults"}},
		{"a missing file", env, []string{"check", "--edge", edge + ".none"}, 1, []string{".none"}},
		{"a start with a bad file", env, []string{"--edge", bad}, 1, []string{"bad.toml:2", "and 1 more"}},
		{"an unknown flag", env, []string{"--egde", edge}, 2, []string{"-egde", "--help"}},
		{"version", nil, []string{"version"}, 0, []string{"tackhub ", "go1."}},
		{"help", nil, []string{"--help"}, 0, []string{"check", "SIGHUP", "Exit codes"}},
	} {
		out, code := runTackhub(t, c.env, c.args...)
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d:\n%s", c.name, code, c.code, out)
		}
		for _, w := range c.want {
			if !strings.Contains(out, w) {
				t.Errorf("%s: no %q in\n%s", c.name, w, out)
			}
		}
	}
}

// A running node gets a new operator file, a faulty one, and an empty one. A faulty file changes nothing and is
// reported; the last good one stays in force.
func TestOperatorFileOnReload(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "")
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	said := func(text string) int { return strings.Count(p.log.String(), text) }
	if said(`"code":"vitals"`) > 0 {
		t.Error("a subsystem runs that the file does not name")
	}
	writeFile(t, edge, "[vitals]\nevery = \"1s\"\ncounters = true\nmemory_warn = 0.001\n")
	p.reload("edge")
	eventually(t, "lines", func() bool { return said(`"code":"vitals"`) > 0 && said(`"taken":`) > 0 })
	eventually(t, "a warning", func() bool { return said(`"code":"vitals_memory"`) == 1 })
	writeFile(t, edge, "[vitals]\nevery = \"2s\"\n[other]\n")
	p.reload("edge_failed")
	if said(`"key":"other"`) != 1 || said(`"line":3`) != 1 {
		t.Error("the fault is not named with line and key")
	}
	before := said(`"code":"vitals"`)
	eventually(t, "the last good file to stay in force", func() bool { return said(`"code":"vitals"`) > before })
	writeFile(t, edge, "")
	p.reload("edge")
	if said(`"off":["vitals"]`) != 1 {
		t.Error("the subsystem was not turned off")
	}
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d after the reloads", a.status)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
