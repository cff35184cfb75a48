package main

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"tackhub.example/tackhub/internal/handover"
)

// The environment, the configuration or an address is invalid. The node must exit at its start with a non-zero code and one line
// that names the key.
func TestStartFailsOnInvalidConfiguration(t *testing.T) {
	addr := freeAddress(t)
	valid := environment(t, addr, nodeOptions{discovery: addr})
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	withSetting := func(old, replacement string) []string {
		return environment(t, addr, nodeOptions{discovery: addr, settings: strings.Replace(testSettings, old, replacement, 1)})
	}
	for _, c := range []struct {
		name, key string
		env       []string
	}{
		{"nothing", "ROUTER_CONFIG", nil},
		{"no such file", "ROUTER_CONFIG", []string{"ROUTER_CONFIG=/nonexistent"}},
		{"invalid listen address", "ROUTER_LISTEN", append(valid[:3:3], "ROUTER_LISTEN=nowhere", valid[3])},
		{"host name instead of an IP address", "ROUTER_DISCOVERY", append(valid[:3:3], "ROUTER_DISCOVERY=host:1", valid[3])},
		{"address in use", "ROUTER_LISTEN", append(valid[:3:3], "ROUTER_LISTEN="+occupied.Addr().String(), valid[3])},
		{"no fleet size", "fleet_size", withSetting(`"fleet_size":1,`, "")},
		{"unknown effect", "classes[bill].effect", withSetting("single_shot", "sometimes")},
		{"fraction above 1", "cold", withSetting(`"cold_from":0.3`, `"cold_from":7`)},
		{"settings not an object", "settings", withSetting(testSettings, `[]`)},
	} {
		cmd := exec.Command(program)
		cmd.Env = c.env
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() == 0 {
			t.Errorf("%s: error %v, want a non-zero exit code", c.name, err)
		}
		if lines := strings.Count(string(out), "\n"); lines != 1 || !strings.Contains(string(out), c.key) {
			t.Errorf("%s: output = %q, want one line that names %s", c.name, out, c.key)
		}
	}
}

// restart starts another process with the name and the address of p, which must have exited.
func (p *nodeProcess) restart(s nodeOptions) *nodeProcess {
	p.t.Helper()
	return startNodeAt(p.t, p.addr, s)
}

// A process exits or is killed while a client connection is open, so the kernel keeps the connection's state at the listen
// address. The next process must be able to listen at the same address.
func TestRestartAtSameAddress(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	options := nodeOptions{discovery: d.addr, known: members(s)}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		p := startNode(t, options)
		clientConn := p.connect() // its state stays in the kernel after the process has exited
		clientConn.write(request("look", 1000))
		if resp, err := clientConn.read(); err != nil || resp.status != 200 {
			t.Fatalf("response %v, %v, want status 200", resp, err)
		}
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		p.exit()
		restarted := p.restart(options)
		if resp := restarted.mustDo(request("bill", 1000)); resp.status != 200 {
			t.Errorf("request after %v and a restart: status %d, want 200", sig, resp.status)
		}
	}
}

// The node receives SIGTERM while it waits for the handover from a predecessor that does not respond. It must drain and exit with
// code 0.
func TestNodeExitsOnSIGTERMDuringHandover(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	l, err := net.Listen("unix", handover.SocketPath(dir, addr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := launch(t, addr, nodeOptions{discovery: startDiscoveryServer(t, nil).addr, env: []string{"TMPDIR=" + dir}})
	c, err := l.Accept() // the node has connected and waits for the handover
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	p.terminate()
	if code := p.exit(); code != 0 || !strings.Contains(p.log.String(), `"code":"drain"`) {
		t.Errorf("exit code %d, want 0 and a drain in the log:\n%s", code, p.log)
	}
}

// Discovery is down when the node starts. The node must serve with the endpoint list in its configuration and keep polling.
func TestNodeServesIfDiscoveryIsDownAtStart(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p := startNode(t, nodeOptions{discovery: freeAddress(t), known: members(s)}) // nothing listens at the discovery address
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("request with the configured list: status %d, want 200", resp.status)
	}
	eventually(t, "two failed calls to discovery", func() bool { return p.counts().List["failed"] > 1 })
}
