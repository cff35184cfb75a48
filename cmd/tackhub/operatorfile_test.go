package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Each command must print the expected output and return the expected exit code, and check must report
// every error with file, line and key.
func TestCommandsPrintOutputAndExitCode(t *testing.T) {
	env := environment(t, "127.0.0.1:8081", nodeOptions{discovery: "127.0.0.1:8500"})
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[vitals]\nevery = \"30s\"\n")
	invalidEdge := filepath.Join(t.TempDir(), "bad.toml")
	writeFile(t, invalidEdge, "[vitals]\nevery = 30\nmemory = 1\n")
	config := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, config, "{\n \"name\": \"n0\",\n \"listen\": \"127.0.0.1:1\",\n \"discovery\": \"here\",\n \"seed\": \"xyz\",\n"+
		" \"limits\": {\n  \"cores\": 0,\n  \"memory_mb\": 1,\n  \"sockets\": 100}\n}\n")
	for _, c := range []struct {
		name string
		env  []string
		args []string
		code int
		want []string
	}{
		{"a check without errors", env, []string{"check", "--edge", edge}, 0, []string{"127.0.0.1:8081", "[vitals] on: counters = false", "every = 30s", "look"}},
		{"the operator file from TACKHUB_EDGE", append(env, "TACKHUB_EDGE="+edge), []string{"check"}, 0, []string{"every = 30s"}},
		{"no operator file", env, []string{"check"}, 0, []string{"no operator file", "[vitals] off"}},
		{"errors in both files", []string{"ROUTER_CONFIG=" + config}, []string{"check", "--edge", invalidEdge}, 1, []string{
			config + ":4: ", "ROUTER_DISCOVERY", config + ":5: seed", config + ":7: limits.cores", "settings is missing",
			invalidEdge + ":2: vitals.every", invalidEdge + ":3: vitals.memory", "6 faults"}},
		{"a missing operator file", env, []string{"check", "--edge", edge + ".none"}, 1, []string{".none"}},
		{"a start with an invalid operator file", env, []string{"--edge", invalidEdge}, 1, []string{"bad.toml:2", "and 1 more"}},
		{"an unknown flag", env, []string{"--egde", edge}, 2, []string{"-egde", "--help"}},
		{"version", nil, []string{"version"}, 0, []string{"tackhub ", "go1."}},
		{"help", nil, []string{"--help"}, 0, []string{"check", "SIGHUP", "Exit codes"}},
	} {
		out, code := runTackhub(t, c.env, c.args...)
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d:\n%s", c.name, code, c.code, out)
		}
		for _, text := range c.want {
			if !strings.Contains(out, text) {
				t.Errorf("%s: output lacks %q:\n%s", c.name, text, out)
			}
		}
	}
}

// A running node reloads a valid operator file, an invalid one, and an empty one. The invalid file must be reported and
// change nothing; the last valid one stays in force.
func TestReloadOfInvalidOperatorFileKeepsLastValid(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "")
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	logCount := func(text string) int { return strings.Count(p.log.String(), text) }
	if logCount(`"code":"vitals"`) > 0 {
		t.Error("the vitals subsystem runs, but the operator file does not enable it")
	}
	writeFile(t, edge, "[vitals]\nevery = \"1s\"\ncounters = true\nmemory_warn = 0.001\n")
	p.reload("edge")
	eventually(t, "log lines with the vitals and counters", func() bool { return logCount(`"code":"vitals"`) > 0 && logCount(`"taken":`) > 0 })
	eventually(t, "a memory warning in the log", func() bool { return logCount(`"code":"vitals_memory"`) == 1 })
	writeFile(t, edge, "[vitals]\nevery = \"2s\"\n[other]\n")
	p.reload("edge_failed")
	if logCount(`"key":"other"`) != 1 || logCount(`"line":3`) != 1 {
		t.Error("the log lacks the error with key other and line 3")
	}
	before := logCount(`"code":"vitals"`)
	eventually(t, "another vitals line, as the last valid file configures", func() bool { return logCount(`"code":"vitals"`) > before })
	writeFile(t, edge, "")
	p.reload("edge")
	if logCount(`"off":["vitals"]`) != 1 {
		t.Error("the log does not report the vitals subsystem as off")
	}
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("got status %d after the reloads, want 200", resp.status)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}
