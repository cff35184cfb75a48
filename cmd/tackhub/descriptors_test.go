package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// resume has an agent serve at an address that it had before.
func resume(t *testing.T, addr string, list []member) *discovery {
	t.Helper()
	var l net.Listener
	eventually(t, "the address", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", addr)
		return err == nil
	})
	d := &discovery{addr: addr, revision: 1, list: list, changed: make(chan struct{})}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return d
}

// crowdIn has clients come without an end, and rest, until it is told to stop.
// The most descriptors that the node was seen to hold meanwhile are told at the end.
func (p *process) crowdIn() (stop func() int) {
	most := 0
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var all []net.Conn
		defer func() {
			for _, c := range all {
				_ = c.Close()
			}
		}()
		for len(all) < 5000 {
			if c, err := net.DialTimeout("tcp", p.addr, patience); err == nil {
				_, _ = c.Write([]byte("G")) // else the kernel keeps it back
				all = append(all, c)
			}
			if held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				most = max(most, len(held))
			}
			select {
			case <-over:
				return
			default:
			}
		}
	}()
	return sync.OnceValue(func() int {
		close(over)
		<-done
		return most
	})
}

// TestIdleClientsLeaveDescriptorsForTheRest: while discovery is down clients that rest would take every descriptor of a process
// whose system gives it fewer than its configuration says. When discovery is back its list must be followed at once, its servers
// reached, the staff's door answered and a new configuration read.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	const files, clients = 64, 150
	s1, s2 := startServer(t, "s1", say(200, "one")), startServer(t, "s2", say(200, "two"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first := &discovery{addr: l.Addr().String(), revision: 1, list: members(s1), changed: make(chan struct{})}
	srv := &http.Server{Handler: first}
	go func() { _ = srv.Serve(l) }()
	door := freeAddress(t)
	p := startNode(t, setup{discovery: first.addr, sockets: 4096, env: []string{"ROUTER_OPERATOR=" + door}})
	eventually(t, "watch", func() bool { return first.watched() > 0 })
	lim := syscall.Rlimit{Cur: files, Max: files}
	if err := prlimit(p.cmd.Process.Pid, &lim); err != nil {
		t.Fatal(err)
	}
	_ = srv.Close()
	for i := range clients {
		c := p.connect() // and stays
		if i%2 == 0 {
			continue
		}
		c.write(request("look", 1400))
		if a, err := c.read(); err != nil || a.status != 200 && a.status != 503 {
			t.Fatalf("client %d: %v %v", i, a, err)
		}
	}
	stop := p.crowdIn()
	defer stop()
	second := resume(t, first.addr, members(s2))
	eventually(t, "the new list", func() bool { return second.watched() > 0 })
	if n := stop(); n > files*3/4 {
		t.Errorf("%d of %d descriptors were taken: half should be set aside, but for what was on its way", n, files)
	}
	if a := p.mustAsk(request("look", 1400)); a.status != 200 || a.body != "two" {
		t.Errorf("%d %q after discovery's return", a.status, a.body)
	}
	resp, err := http.Get("http://" + door + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	var figures map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&figures); err != nil {
		t.Error(err)
	}
	_ = resp.Body.Close()
	third := startDiscovery(t, members(s1))
	p.configure("discovery", third.addr)
	p.reload("reload")
	eventually(t, "the list at the new address", func() bool { return third.watched() > 0 })
	if n := strings.Count(p.log.String(), `"code":"descriptors_short"`); n != 1 {
		t.Errorf("the log says %d times that descriptors run short", n)
	}
	got := p.counts()
	got.addUp(t)
	if got.Requests["unsent"] > 0 {
		t.Errorf("%d answers were not written", got.Requests["unsent"])
	}
}
