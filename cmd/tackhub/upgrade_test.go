package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/handover"
)

// upgradeTest is a node that can be upgraded: where its processes meet, and what the next one is configured with.
type upgradeTest struct {
	t         *testing.T
	dir       string
	discovery *discoveryServer
	old       *nodeProcess
	admin     string
}

func newUpgradeTest(t *testing.T, servers ...*backend) *upgradeTest {
	t.Helper()
	u := &upgradeTest{t: t, dir: t.TempDir(), discovery: startDiscoveryServer(t, members(servers...)), admin: freeAddress(t)}
	u.old = startNode(t, u.setup(u.admin))
	eventually(t, "watch", func() bool { return u.discovery.watchCount() > 0 })
	return u
}

func (u *upgradeTest) setup(admin string) nodeOptions {
	return nodeOptions{discovery: u.discovery.addr, env: []string{"TMPDIR=" + u.dir, "ROUTER_OPERATOR=" + admin}}
}

// next starts the next process and waits until its admin listener reports it healthy.
func (u *upgradeTest) next() (p *nodeProcess, admin string) {
	u.t.Helper()
	admin = freeAddress(u.t)
	p = launch(u.t, u.old.addr, u.setup(admin))
	eventually(u.t, "the new process's health", func() bool { return adminHealth(admin) == 200 })
	return p, admin
}

// adminHealth is an admin listener's status for a health check; 0 where there is none.
func adminHealth(admin string) int {
	c, err := net.DialTimeout("tcp", admin, waitTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprint(c, "GET /healthcheck HTTP/1.1\r\nHost: staff\r\n\r\n")
	b := make([]byte, 12)
	if n, _ := c.Read(b); n < 12 {
		return 0
	}
	status := 0
	_, _ = fmt.Sscanf(string(b[9:]), "%d", &status)
	return status
}

// A node is upgraded while clients use new and kept connections. No request may be lost, and the new process can be
// upgraded in turn.
func TestUpgradeLosesNoRequest(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "done")), startBackend(t, "s2", respond(200, "done"))
	u := newUpgradeTest(t, s1, s2)
	var failed, asked atomic.Int64
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	for i := range 8 {
		clients.Go(func() {
			var kept *client
			for {
				select {
				case <-stop:
					return
				default:
				}
				if kept == nil {
					c, err := u.old.dial()
					if err != nil {
						failed.Add(1)
						continue
					}
					kept = c
				}
				asked.Add(1)
				_, _ = fmt.Fprint(kept, request("look", 1400))
				a, err := kept.read()
				if err != nil || a.status != 200 && a.status != 503 { // a refusal is an answer
					t.Logf("asked and got %+v, %v", a, err)
					failed.Add(1)
				}
				if err != nil || a.closesConn || i%2 == 0 {
					_ = kept.Close()
					kept = nil
				}
			}
		})
	}
	eventually(t, "traffic", func() bool { return asked.Load() > 200 })
	p, admin := u.next()
	both := asked.Load()
	eventually(t, "traffic at both", func() bool { return asked.Load() > both+200 })
	u.old.terminate()
	if code := u.old.exit(); code != 0 {
		t.Errorf("the old process: exit %d", code)
	}
	alone := asked.Load()
	eventually(t, "traffic at the new one", func() bool { return asked.Load() > alone+200 })
	close(stop)
	clients.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests lost", n, asked.Load())
	}
	eventually(t, "the end noticed", func() bool { return strings.Contains(p.log.String(), "the predecessor has ended") })
	if f := queryAdminStats(t, admin); f.Operations["look"]["fulfilled"] == 0 || f.Entries != 2 {
		t.Errorf("the new process's figures: %+v", f)
	}
	if _, admin := u.next(); adminHealth(admin) != 200 { // the new one can be followed as well
		t.Error("no second upgrade")
	}
}

// The old process has ejected a server, and discovery has been silent since. The new process must know the list and the
// ejection, and send that server nothing.
func TestUpgradeTransfersState(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "done")), startBackend(t, "s2", respond(200, "done"))
	u := newUpgradeTest(t, s1, s2)
	for range 20 {
		u.old.mustDo(request("look", 1400))
	}
	s2.setBehavior(resetConn)
	eventually(t, "exclusion", func() bool {
		u.old.mustDo(request("look", 1400))
		return queryAdminStats(t, u.admin).Ejected == 1
	})
	u.discovery.respondWith("noise")
	p, admin := u.next()
	eventually(t, "what was known", func() bool { f := queryAdminStats(t, admin); return f.Entries == 2 && f.Ejected == 1 })
	u.old.terminate()
	u.old.exit()
	before := len(s2.requests())
	for range 30 {
		if a := p.mustDo(request("look", 1400)); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
	if n := len(s2.requests()) - before; n > 0 {
		t.Errorf("%d requests to the excluded server", n)
	}
}

// The same, with a server that fails from its first request on. It has no record of answers that could keep requests away from it, so the
// ejection comes on a machine that stands still at times as well. Guards against an upgrade that forgets the list or an ejection.
func TestUpgradeTransfersEjection(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "done")), startBackend(t, "s2", resetConn)
	u := newUpgradeTest(t, s1, s2)
	eventually(t, "ejection", func() bool {
		u.old.mustDo(request("look", 1400))
		return queryAdminStats(t, u.admin).Ejected == 1
	})
	u.discovery.respondWith("noise")
	next, admin := u.next()
	eventually(t, "what was known", func() bool { f := queryAdminStats(t, admin); return f.Entries == 2 && f.Ejected == 1 })
	u.old.terminate()
	u.old.exit()
	before := len(s2.requests())
	for range 30 {
		if a := next.mustDo(request("look", 1400)); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
	if n := len(s2.requests()) - before; n > 0 {
		t.Errorf("%d requests to the ejected server", n)
	}
}

// Two processes of one node serve during an upgrade. A request id in flight at one must be known to the other, and a
// drain at one must hold for both, also after the old one has ended.
func TestUpgradeSharesIDsAndDrains(t *testing.T) {
	gate := make(chan struct{})
	u := newUpgradeTest(t, startBackend(t, "s1", respondAfter(gate, respond(200, "done"))))
	open := request("look", 1400)
	first := u.old.send(open)
	eventually(t, "a request in flight", func() bool { return queryAdminStats(t, u.admin).Open == 1 })
	p, admin := u.next()
	// Both processes take connections: the one that does not have the request must know of it as well.
	for range 8 {
		if a := p.mustDo(open); a.status != 409 {
			t.Errorf("an id in flight: status %d", a.status)
		}
	}
	close(gate)
	if a := await(t, "the request in flight", first); a.status != 200 {
		t.Errorf("the request in flight: %d", a.status)
	}
	adminCall(t, admin, "PUT", "/healthcheck/fail")
	eventually(t, "both drained", func() bool { return adminHealth(u.admin) == 503 && adminHealth(admin) == 503 })
	adminCall(t, u.admin, "PUT", "/healthcheck/ok")
	eventually(t, "the end of the drain at both", func() bool { return adminHealth(u.admin) == 200 && adminHealth(admin) == 200 })
	adminCall(t, u.admin, "PUT", "/healthcheck/fail")
	u.old.terminate()
	u.old.exit()
	if adminHealth(admin) != 503 {
		t.Error("the drain ended with the old process")
	}
	adminCall(t, admin, "PUT", "/healthcheck/ok")
	if adminHealth(admin) != 200 {
		t.Error("not healthy after the drain")
	}
}

// A new process starts where nothing can be taken over: the old one was killed or hangs, a foreign file is in its
// place, or it speaks another version. The new one starts as without an upgrade.
func TestUpgradeFallsBack(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	for name, act := range map[string]func(t *testing.T, u *upgradeTest, path string){
		"killed": func(t *testing.T, u *upgradeTest, _ string) {
			_ = u.old.cmd.Process.Kill()
			<-u.old.done
		},
		"hangs": func(t *testing.T, u *upgradeTest, _ string) {
			_ = u.old.cmd.Process.Signal(syscall.SIGSTOP)
			eventually(t, "the suspension", u.old.suspended)
		},
		"foreign file": func(t *testing.T, u *upgradeTest, path string) {
			if err := errors.Join(os.Remove(path), os.WriteFile(path, []byte("mine"), 0o600)); err != nil {
				t.Fatal(err)
			}
		},
		"another version": func(t *testing.T, u *upgradeTest, path string) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = fmt.Fprintln(c, `{"tackhub_handover":99}`)
				}
			}()
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgradeTest(t, s)
			path := handover.SocketPath(u.dir, u.old.addr)
			eventually(t, "the meeting place", func() bool { _, err := os.Stat(path); return err == nil })
			act(t, u, path)
			p, admin := u.next()
			eventually(t, "the list", func() bool { return queryAdminStats(t, admin).Entries == 1 })
			if n := strings.Count(p.log.String(), `"code":"handover_failed"`); n < 1 || n > 2 {
				t.Errorf("%d lines of the failure, want one, and one more where the place is taken", n)
			}
			_ = u.old.cmd.Process.Kill()
			<-u.old.done
			if a := p.mustDo(request("look", 1400)); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			if raw, err := os.ReadFile(path); name == "foreign file" && (err != nil || string(raw) != "mine") {
				t.Errorf("the foreign file: %q, %v", raw, err)
			}
		})
	}
}

// A process of another customer serves at the same address with the same $TMPDIR, known by its name or by its discovery
// and settings. Taking its listener over would mix the clients of both.
func TestForeignProcessHandsNothingOver(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	for name, change := range map[string]func(*nodeOptions){
		"name": func(s *nodeOptions) { s.env = append(s.env, "ROUTER_NAME=n9") },
		"discovery and settings": func(s *nodeOptions) {
			s.discovery, s.settings = startDiscoveryServer(t, nil).addr, strings.Replace(testSettings, `"name":"look"`, `"name":"seek"`, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgradeTest(t, s)
			eventually(t, "the meeting place", func() bool { _, err := os.Stat(handover.SocketPath(u.dir, u.old.addr)); return err == nil })
			other := u.setup(freeAddress(t))
			change(&other)
			p := launch(t, u.old.addr, other)
			if code := p.exit(); code == 0 || !strings.Contains(p.log.String(), "ROUTER_LISTEN") {
				t.Errorf("exit %d, log %s", code, p.log)
			}
			if a := u.old.mustDo(request("look", 1400)); a.status != 200 || queryAdminStats(t, u.admin).Open != 0 {
				t.Errorf("the process that serves: %d", a.status)
			}
			if p, admin := u.next(); adminHealth(admin) != 200 || !strings.Contains(p.log.String(), `"code":"handover"`) {
				t.Error("its own next version cannot take over any more")
			}
		})
	}
}

// An upgrade changes a class in the settings, or the discovery. What was measured for the old one must not count for
// the new one.
func TestChangedSettingsDropRecords(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "done")), startBackend(t, "s2", respond(200, "done"))
	for name, change := range map[string]func(*nodeOptions){
		"settings":  func(s *nodeOptions) { s.settings = strings.Replace(testSettings, `"name":"look"`, `"name":"seek"`, 1) },
		"discovery": func(s *nodeOptions) { s.discovery = startDiscoveryServer(t, members(s2)).addr },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgradeTest(t, s1, s2)
			for range 20 {
				u.old.mustDo(request("look", 1400))
			}
			s2.setBehavior(resetConn)
			defer s2.setBehavior(respond(200, "done"))
			eventually(t, "exclusion", func() bool {
				u.old.mustDo(request("look", 1400))
				return queryAdminStats(t, u.admin).Ejected == 1
			})
			admin := freeAddress(t)
			next := u.setup(admin)
			change(&next)
			p := launch(t, u.old.addr, next)
			eventually(t, "the new process's health", func() bool { return adminHealth(admin) == 200 })
			entries := map[string]int{"settings": 2, "discovery": 1}[name]
			eventually(t, "its list", func() bool { return queryAdminStats(t, admin).Entries == entries })
			avoided := map[string]int{"settings": 0, "discovery": 1}[name] // the same settings' records of a server that both list
			eventually(t, "its records", func() bool { return queryAdminStats(t, admin).Ejected >= avoided })
			if f := queryAdminStats(t, admin); f.Ejected != avoided || !strings.Contains(p.log.String(), `"code":"handover_part"`) {
				t.Errorf("avoids %d of %d servers, want %d", f.Ejected, f.Entries, avoided)
			}
		})
	}
}

// A killed process left its socket in $TMPDIR, and another program now listens at its address. The socket says nothing
// about that program, so the address must not be shared with it.
func TestAddressOfKilledProcessIsNotShared(t *testing.T) {
	u := newUpgradeTest(t, startBackend(t, "s1", respond(200, "done")))
	eventually(t, "the meeting place", func() bool { _, err := os.Stat(handover.SocketPath(u.dir, u.old.addr)); return err == nil })
	_ = u.old.cmd.Process.Kill()
	<-u.old.done
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		cerr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(cerr, err)
	}}
	l, err := config.Listen(t.Context(), "tcp", u.old.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := launch(t, u.old.addr, u.setup(freeAddress(t)))
	if code := p.exit(); code == 0 || !strings.Contains(p.log.String(), "ROUTER_LISTEN") {
		t.Errorf("exit %d, log %s", code, p.log)
	}
}
