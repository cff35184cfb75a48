package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// leave ends a client's connection: by a FIN behind what it has sent, or by a reset.
func (c *client) leave(hard bool) {
	if hard {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// howTheyLeave are the ways in which a client's connection ends.
var howTheyLeave = map[string]bool{"closed": false, "reset": true}

// withdrawn waits until all that was out for so many clients that left has been taken back.
func (p *process) withdrawn(left int) {
	p.t.Helper()
	var got counts
	eventually(p.t, "withdrawal", func() bool {
		got = p.counts()
		return got.Requests["left"] == left && got.Attempts["open"] == 0 && got.Requests["open"] == 0
	})
	got.addUp(p.t)
}

// TestLeavingIsSeenBehindUnreadBytes: a client that sent more than its request and went was never seen to leave, and its
// request stayed out for all of its time.
func TestLeavingIsSeenBehindUnreadBytes(t *testing.T) {
	for name, hard := range howTheyLeave {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, "s1", silence)
			p, _ := startWith(t, "", s)
			c := p.connect()
			c.write(request("look", 1500) + strings.Repeat(request("look", 1500), 200)) // more than the node's buffer holds
			eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
			c.leave(hard)
			p.withdrawn(1)
			got := p.counts()
			if n := len(s.requests()); n != 1 || got.Outcomes["cancelled"] != 1 || got.Requests["failed"]+got.Requests["rejected"] > 0 {
				t.Errorf("%d requests of a client that left with the first one; %v, %v", n, got.Outcomes, got.Requests)
			}
		})
	}
}

// TestLeftBeforeItsRequestWasRead: what lay in the kernel while the node stood still is sent to no server once its client
// has gone.
func TestLeftBeforeItsRequestWasRead(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
	kept := p.connect()
	kept.write(request("look", 1500))
	if a, err := kept.read(); err != nil || a.status != 200 {
		t.Fatalf("%v %v", a, err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "standstill", p.stopped)
	kept.write(request("bill", 60_000))
	kept.leave(false) // a reset takes what was not read with it
	for range 20 {
		late := p.connect()
		late.write(request("bill", 60_000))
		late.leave(false)
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.withdrawn(21)
	if got := p.counts(); len(s.requests()) != 1 || got.Attempts["sent"] != 1 {
		t.Errorf("%d requests reached the server, %d were sent, want the first alone", len(s.requests()), got.Attempts["sent"])
	}
}

// holdingServer is a server whose connections come up only once it is released: its queue of connections is full, so
// that the kernel drops each SYN. The client's kernel sends the next a second after the first.
type holdingServer struct {
	*server
	t       *testing.T
	fd      int
	fillers int // connections that fill its queue
}

func startHolding(t *testing.T, id string, act reply) *holdingServer {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := "127.0.0.1:" + strconv.Itoa(sa.(*syscall.SockaddrInet4).Port)
	fillers := 0
	for range 2 { // the queue holds one more than it says; the second shows that it is full
		filler, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err == nil {
			fillers++
			t.Cleanup(func() { _ = filler.Close() })
		}
	}
	h := &holdingServer{server: &server{id: id, addr: addr, act: act, conns: map[net.Conn]bool{}}, t: t, fd: fd, fillers: fillers}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	return h
}

// release has it accept from now on.
func (h *holdingServer) release() {
	h.t.Helper()
	go func() {
		for {
			fd, _, err := syscall.Accept(h.fd)
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(fd), "accepted")
			c, err := net.FileConn(f)
			_ = f.Close()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	h.t.Cleanup(func() { _ = syscall.Shutdown(h.fd, syscall.SHUT_RDWR) }) // ends the accepting
}

// TestLeavesWhileAConnectionComesUp: the connection that the request waited for comes up after its client has gone.
func TestLeavesWhileAConnectionComesUp(t *testing.T) {
	for name, hard := range howTheyLeave {
		t.Run(name, func(t *testing.T) {
			s := startHolding(t, "s1", say(200, "done"))
			p, _ := startWith(t, strings.Replace(testSettings, `"connect_timeout_ms":150`, `"connect_timeout_ms":5000`, 1), s.server)
			c := p.connect()
			c.write(request("bill", 1500))
			eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			c.leave(hard)
			p.withdrawn(1)
			s.release()
			// The next one's SYN is answered no sooner than the first one's would be.
			eventually(t, "the server's coming up", func() bool { return p.mustAsk(request("look", 1500)).status == 200 })
			for _, g := range s.requests() {
				if strings.HasPrefix(g.line, "POST /bill") {
					t.Error("the request was sent on after its client had left")
				}
			}
		})
	}
}

// TestLeavesBetweenTwoTries: the first try ends after the client has gone, and brings no second one.
func TestLeavesBetweenTwoTries(t *testing.T) {
	for name, hard := range howTheyLeave {
		t.Run(name, func(t *testing.T) {
			gate := make(chan struct{})
			s1, s2 := startServer(t, "s1", after(gate, reset)), startServer(t, "s2", after(gate, reset))
			p, _ := startWith(t, "", s1, s2)
			c := p.connect()
			c.write(request("look", 1500))
			eventually(t, "attempt", func() bool { return len(s1.requests())+len(s2.requests()) == 1 })
			c.leave(hard)
			p.withdrawn(1)
			close(gate)
			p.mustAsk(request("store", 1500)) // whatever the first one's end brought about lies before it
			looks := 0
			for _, g := range append(s1.requests(), s2.requests()...) {
				if strings.HasPrefix(g.line, "GET /look") {
					looks++
				}
			}
			if looks != 1 {
				t.Errorf("%d copies of a request whose client left with the first", looks)
			}
		})
	}
}

// TestNothingIsWrittenOnceItsClientHasLeft: the connection that a request waits for is up in the moment in which the node hears
// that its client has gone. Writing takes fewer steps than that news, which passes the engine.
func TestNothingIsWrittenOnceItsClientHasLeft(t *testing.T) {
	patient := strings.NewReplacer(`"connect_timeout_ms":150`, `"connect_timeout_ms":20000`, `"hard_limit_ms":1500`, `"hard_limit_ms":20000`,
		`"aim_ms":400`, `"aim_ms":20000`).Replace(testSettings)
	for name, hard := range howTheyLeave {
		t.Run(name, func(t *testing.T) {
			s := startHolding(t, "s1", say(200, "done"))
			p, _ := startWith(t, patient, s.server)
			c := p.connect()
			c.write(request("bill", 20_000))
			eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			eventually(t, "standstill", p.stopped)
			c.leave(hard)
			s.release()
			eventually(t, "the connection", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.conns) > s.fillers
			})
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.withdrawn(1)
			if a := p.mustAsk(request("look", 20_000)); a.status != 200 {
				t.Errorf("the next one: %d", a.status)
			}
			for _, g := range s.requests() {
				if strings.HasPrefix(g.line, "POST /bill") {
					t.Error("the request was written after its client had left")
				}
			}
		})
	}
}
