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

// The environment, the configuration or an address cannot be used. The start ends with a non-zero exit code and one
// line that names the key.
func TestStartErrors(t *testing.T) {
	addr := freeAddress(t)
	good := environment(t, addr, nodeOptions{discovery: addr})
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	broken := func(part, with string) []string {
		return environment(t, addr, nodeOptions{discovery: addr, settings: strings.Replace(testSettings, part, with, 1)})
	}
	for _, c := range []struct {
		name, key string
		env       []string
	}{
		{"nothing", "ROUTER_CONFIG", nil},
		{"no such file", "ROUTER_CONFIG", []string{"ROUTER_CONFIG=/nonexistent"}},
		{"no listen address", "ROUTER_LISTEN", append(good[:3:3], "ROUTER_LISTEN=nowhere", good[3])},
		{"a name to look up", "ROUTER_DISCOVERY", append(good[:3:3], "ROUTER_DISCOVERY=host:1", good[3])},
		{"address in use", "ROUTER_LISTEN", append(good[:3:3], "ROUTER_LISTEN="+taken.Addr().String(), good[3])},
		{"no fleet size", "fleet_size", broken(`"fleet_size":1,`, "")},
		{"odd effect", "classes[bill].effect", broken("single_shot", "sometimes")},
		{"impossible share", "cold", broken(`"cold_from":0.3`, `"cold_from":7`)},
		{"settings of another kind", "settings", broken(testSettings, `[]`)},
	} {
		cmd := exec.Command(program)
		cmd.Env = c.env
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() == 0 {
			t.Errorf("%s: %v, want a non-zero exit", c.name, err)
		}
		if lines := strings.Count(string(out), "\n"); lines != 1 || !strings.Contains(string(out), c.key) {
			t.Errorf("%s: said %q, want one line naming %s", c.name, out, c.key)
		}
	}
}

// restart starts a node again under the name and address that another one had.
func (p *nodeProcess) restart(s nodeOptions) *nodeProcess {
	p.t.Helper()
	return startNodeAt(p.t, p.addr, s)
}

// A process ended or was killed with connections that linger in the kernel. The next one must be able to listen at the
// same address.
func TestRestartUnderTheSameAddress(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	set := nodeOptions{discovery: d.addr, known: members(s)}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		p := startNode(t, set)
		held := p.connect() // its end lingers in the kernel
		held.write(request("look", 1000))
		if a, err := held.read(); err != nil || a.status != 200 {
			t.Fatalf("%v %v", a, err)
		}
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		p.exit()
		again := p.restart(set)
		if a := again.mustDo(request("bill", 1000)); a.status != 200 {
			t.Errorf("after %v: status %d", sig, a.status)
		}
	}
}

// SIGTERM comes while the start waits for the other process's handover, which hangs. The node must exit as planned.
func TestSignalDuringStart(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	l, err := net.Listen("unix", handover.SocketPath(dir, addr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := launch(t, addr, nodeOptions{discovery: startDiscoveryServer(t, nil).addr, env: []string{"TMPDIR=" + dir}})
	c, err := l.Accept() // it has asked, and waits
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	p.terminate()
	if code := p.exit(); code != 0 || !strings.Contains(p.log.String(), `"code":"drain"`) {
		t.Errorf("exit code %d, log %s", code, p.log)
	}
}

// Discovery is down at the start. The node serves by the list in its configuration and goes on polling.
func TestDiscoveryDownAtStart(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p := startNode(t, nodeOptions{discovery: freeAddress(t), known: members(s)}) // nobody listens there
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d from the list as held", a.status)
	}
	eventually(t, "failed calls", func() bool { return p.counts().List["failed"] > 1 })
}
