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

// pairOf is a node that can be upgraded: where its processes meet, and what the next one is told.
type pairOf struct {
	t    *testing.T
	dir  string
	d    *discovery
	old  *process
	door string
}

func upgradable(t *testing.T, servers ...*server) *pairOf {
	t.Helper()
	u := &pairOf{t: t, dir: t.TempDir(), d: startDiscovery(t, members(servers...)), door: freeAddress(t)}
	u.old = startNode(t, u.setup(u.door))
	eventually(t, "watch", func() bool { return u.d.watched() > 0 })
	return u
}

func (u *pairOf) setup(door string) setup {
	return setup{discovery: u.d.addr, env: []string{"TMPDIR=" + u.dir, "ROUTER_OPERATOR=" + door}}
}

// next starts the next version and waits for its yes.
func (u *pairOf) next() (p *process, door string) {
	u.t.Helper()
	door = freeAddress(u.t)
	p = launch(u.t, u.old.addr, u.setup(door))
	eventually(u.t, "the new process's yes", func() bool { return healthy(door) == 200 })
	return p, door
}

// healthy is a door's answer to the health question, or 0.
func healthy(door string) int {
	c, err := net.DialTimeout("tcp", door, patience)
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

// TestUpgradeLosesNothing has clients on new and on kept connections through a whole upgrade.
func TestUpgradeLosesNothing(t *testing.T) {
	s1, s2 := startServer(t, "s1", say(200, "done")), startServer(t, "s2", say(200, "done"))
	u := upgradable(t, s1, s2)
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
				if err != nil || a.last || i%2 == 0 {
					_ = kept.Close()
					kept = nil
				}
			}
		})
	}
	eventually(t, "traffic", func() bool { return asked.Load() > 200 })
	p, door := u.next()
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
	if f := stats(t, door); f.Operations["look"]["fulfilled"] == 0 || f.Entries != 2 {
		t.Errorf("the new process's figures: %+v", f)
	}
	if _, door := u.next(); healthy(door) != 200 { // the new one can be followed as well
		t.Error("no second upgrade")
	}
}

// TestUpgradeKnowsWhatTheOldOneKnew has the old process exclude a server, with discovery silent since.
func TestUpgradeKnowsWhatTheOldOneKnew(t *testing.T) {
	s1, s2 := startServer(t, "s1", say(200, "done")), startServer(t, "s2", say(200, "done"))
	u := upgradable(t, s1, s2)
	for range 20 {
		u.old.mustAsk(request("look", 1400))
	}
	s2.behave(reset)
	eventually(t, "exclusion", func() bool {
		u.old.mustAsk(request("look", 1400))
		return stats(t, u.door).Avoided == 1
	})
	u.d.babble("noise")
	p, door := u.next()
	eventually(t, "what was known", func() bool { f := stats(t, door); return f.Entries == 2 && f.Avoided == 1 })
	u.old.terminate()
	u.old.exit()
	before := len(s2.requests())
	for range 30 {
		if a := p.mustAsk(request("look", 1400)); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
	if n := len(s2.requests()) - before; n > 0 {
		t.Errorf("%d requests to the excluded server", n)
	}
}

func TestUpgradeSharesIDsAndDrains(t *testing.T) {
	gate := make(chan struct{})
	u := upgradable(t, startServer(t, "s1", after(gate, say(200, "done"))))
	open := request("look", 1400)
	first := u.old.send(open)
	eventually(t, "a request in hand", func() bool { return stats(t, u.door).Open == 1 })
	p, door := u.next()
	// Both processes take connections: the one that does not have the request must know of it as well.
	for range 8 {
		if a := p.mustAsk(open); a.status != 409 {
			t.Errorf("an id in hand: status %d", a.status)
		}
	}
	close(gate)
	if a := wait(t, "the request in hand", first); a.status != 200 {
		t.Errorf("the request in hand: %d", a.status)
	}
	call(t, door, "PUT", "/healthcheck/fail")
	eventually(t, "both drained", func() bool { return healthy(u.door) == 503 && healthy(door) == 503 })
	call(t, u.door, "PUT", "/healthcheck/ok")
	eventually(t, "the end of the drain at both", func() bool { return healthy(u.door) == 200 && healthy(door) == 200 })
	call(t, u.door, "PUT", "/healthcheck/fail")
	u.old.terminate()
	u.old.exit()
	if healthy(door) != 503 {
		t.Error("the drain ended with the old process")
	}
	call(t, door, "PUT", "/healthcheck/ok")
	if healthy(door) != 200 {
		t.Error("no yes after the drain")
	}
}

// TestUpgradeFallsBack has a new process start where nothing can be taken over.
func TestUpgradeFallsBack(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	for name, act := range map[string]func(t *testing.T, u *pairOf, path string){
		"killed": func(t *testing.T, u *pairOf, _ string) {
			_ = u.old.cmd.Process.Kill()
			<-u.old.done
		},
		"hangs": func(t *testing.T, u *pairOf, _ string) {
			_ = u.old.cmd.Process.Signal(syscall.SIGSTOP)
			eventually(t, "standstill", u.old.stopped)
		},
		"foreign file": func(t *testing.T, u *pairOf, path string) {
			if err := errors.Join(os.Remove(path), os.WriteFile(path, []byte("mine"), 0o600)); err != nil {
				t.Fatal(err)
			}
		},
		"another version": func(t *testing.T, u *pairOf, path string) {
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
			u := upgradable(t, s)
			path := handover.SocketPath(u.dir, u.old.addr)
			eventually(t, "the meeting place", func() bool { _, err := os.Stat(path); return err == nil })
			act(t, u, path)
			p, door := u.next()
			eventually(t, "the list", func() bool { return stats(t, door).Entries == 1 })
			if n := strings.Count(p.log.String(), `"code":"handover_failed"`); n < 1 || n > 2 {
				t.Errorf("%d lines of the failure, want one, and one more where the place is taken", n)
			}
			_ = u.old.cmd.Process.Kill()
			<-u.old.done
			if a := p.mustAsk(request("look", 1400)); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			if raw, err := os.ReadFile(path); name == "foreign file" && (err != nil || string(raw) != "mine") {
				t.Errorf("the foreign file: %q, %v", raw, err)
			}
		})
	}
}

// TestAnotherCustomersProcessGivesNothing has a process of another customer serve at the same address with the same $TMPDIR:
// by name, or by its discovery and settings. Taking its listener would mix the clients of both.
func TestAnotherCustomersProcessGivesNothing(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	for name, change := range map[string]func(*setup){
		"name": func(s *setup) { s.env = append(s.env, "ROUTER_NAME=n9") },
		"discovery and settings": func(s *setup) {
			s.discovery, s.settings = startDiscovery(t, nil).addr, strings.Replace(testSettings, `"name":"look"`, `"name":"seek"`, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := upgradable(t, s)
			eventually(t, "the meeting place", func() bool { _, err := os.Stat(handover.SocketPath(u.dir, u.old.addr)); return err == nil })
			other := u.setup(freeAddress(t))
			change(&other)
			p := launch(t, u.old.addr, other)
			if code := p.exit(); code == 0 || !strings.Contains(p.log.String(), "ROUTER_LISTEN") {
				t.Errorf("exit %d, log %s", code, p.log)
			}
			if a := u.old.mustAsk(request("look", 1400)); a.status != 200 || stats(t, u.door).Open != 0 {
				t.Errorf("the process that serves: %d", a.status)
			}
			if p, door := u.next(); healthy(door) != 200 || !strings.Contains(p.log.String(), `"code":"handover"`) {
				t.Error("its own next version cannot take over any more")
			}
		})
	}
}

// TestChangedSettingsTakeNoRecords: in an upgrade of one node the class "look" becomes another one, and the list another
// discovery's. What was counted for the one must not count for the other.
func TestChangedSettingsTakeNoRecords(t *testing.T) {
	s1, s2 := startServer(t, "s1", say(200, "done")), startServer(t, "s2", say(200, "done"))
	for name, change := range map[string]func(*setup){
		"settings":  func(s *setup) { s.settings = strings.Replace(testSettings, `"name":"look"`, `"name":"seek"`, 1) },
		"discovery": func(s *setup) { s.discovery = startDiscovery(t, members(s2)).addr },
	} {
		t.Run(name, func(t *testing.T) {
			u := upgradable(t, s1, s2)
			for range 20 {
				u.old.mustAsk(request("look", 1400))
			}
			s2.behave(reset)
			defer s2.behave(say(200, "done"))
			eventually(t, "exclusion", func() bool {
				u.old.mustAsk(request("look", 1400))
				return stats(t, u.door).Avoided == 1
			})
			door := freeAddress(t)
			next := u.setup(door)
			change(&next)
			p := launch(t, u.old.addr, next)
			eventually(t, "the new process's yes", func() bool { return healthy(door) == 200 })
			entries := map[string]int{"settings": 2, "discovery": 1}[name]
			eventually(t, "its list", func() bool { return stats(t, door).Entries == entries })
			avoided := map[string]int{"settings": 0, "discovery": 1}[name] // the same settings' records of a server that both list
			eventually(t, "its records", func() bool { return stats(t, door).Avoided >= avoided })
			if f := stats(t, door); f.Avoided != avoided || !strings.Contains(p.log.String(), `"code":"handover_part"`) {
				t.Errorf("avoids %d of %d servers, want %d", f.Avoided, f.Entries, avoided)
			}
		})
	}
}

// TestAddressOfOneKilledIsNotShared: what a killed process left in $TMPDIR says nothing of who listens there now.
func TestAddressOfOneKilledIsNotShared(t *testing.T) {
	u := upgradable(t, startServer(t, "s1", say(200, "done")))
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
