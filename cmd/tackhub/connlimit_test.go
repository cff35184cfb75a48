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
	"time"
)

// Each client opens a connection, sends one request and keeps the connection. Clients may hold a third of the
// descriptors, so idle connections are closed long before new clients find no room.
func TestIdleClientsAreEvictedEarly(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s) // 256 descriptors
	for i := range 200 {
		c := p.connect()
		c.write(request("look", 1000))
		if a, err := c.read(); err != nil || a.status != 200 {
			t.Fatalf("connection %d: %v %v", i, a, err)
		}
	}
	time.Sleep(60 * time.Millisecond) // by now all have stood idle long enough to make way
	eventually(t, "fewer than a sixth of the descriptors in use", func() bool { return p.counts().Clients["open"] < 256/6 })
}

// Far more clients connect at once than the node has descriptors, and none sends anything. A well-behaved client behind
// them is served at once, and the silent ones are closed in time.
func TestSilentConnectionsDoNotDelayRequests(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	began := time.Now()
	var crowd []*client
	for range 300 {
		crowd = append(crowd, p.connect())
	}
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d after %v", a.status, a.took)
	}
	if n := p.counts().Clients["opened"]; n > 100 {
		t.Errorf("%d connections were taken from the kernel while most had said nothing", n)
	}
	for i, c := range crowd {
		if _, err := c.read(); err != nil && time.Since(began) > maxCloseTime {
			t.Fatalf("connection %d was closed after %v", i, time.Since(began))
		}
	}
}

// More clients keep their connections than the node has descriptors. Idle connections are closed for new ones, and
// every client is served.
func TestIdleClientsAreEvictedAtDescriptorLimit(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	for i := range 100 {
		c := p.connect()
		c.write(request("look", 5000))
		if a, err := c.read(); err != nil || a.status != 200 {
			t.Fatalf("connection %d: %v %v", i, a, err)
		}
	}
	eventually(t, "evictions", func() bool { return p.counts().ClientEnds["descriptor_limit"] >= 84 })
}

// Far more clients connect and send a request at once than the node has descriptors. A new connection whose request has
// not arrived yet must not be evicted as idle.
func TestConnectionBurstLosesNoRequest(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	var all []<-chan asyncResult
	for range 300 {
		all = append(all, p.send(request("look", 5000, "Connection: close")))
	}
	for _, o := range all {
		await(t, "answer", o)
	}
	got := p.counts()
	got.addUp(t)
	if got.ClientEnds["descriptor_limit"] > 0 {
		t.Errorf("%d new connections were closed for want of descriptors", got.ClientEnds["descriptor_limit"])
	}
}

// The process gets fewer descriptors than its configuration says, so that accept fails. The node goes on with what it
// has, and recovers once clients leave.
func TestRecoveryFromDescriptorExhaustion(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 4096})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	lim := syscall.Rlimit{Cur: 24, Max: 24}
	if err := prlimit(p.cmd.Process.Pid, &lim); err != nil {
		t.Fatal(err)
	}
	var held []*client
	for range 60 {
		c := p.connect()
		c.write(request("look", 5000))
		if a, err := c.read(); err != nil || a.status != 200 && a.status != 503 {
			t.Fatalf("%v %v", a, err)
		}
		held = append(held, c)
	}
	// Idle connections make way for the client; where none is left for the server the request is refused at once.
	if a := p.mustDo(request("look", 5000)); a.status != 200 && a.status != 503 {
		t.Errorf("status %d with no descriptor left", a.status)
	}
	if n := p.counts().Clients["paused"]; n == 0 {
		t.Error("accepting never failed")
	}
	for _, c := range held {
		_ = c.Close()
	}
	eventually(t, "recovery", func() bool {
		a, err := p.do(request("look", 1000))
		return err == nil && a.status == 200
	})
}

// Twice as many clients as the node has room for stay with a part of a request. They are evicted for a client that
// sends a whole one, though slowly.
func TestPartialRequestsAreEvicted(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 96})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	for i := range 60 {
		c := p.connect()
		if i%2 == 0 {
			c.write("GET /look HTTP/1.1\r\nX-Request")
		} else {
			c.write(strings.TrimSuffix(request("bill", 1000), "=12")) // half a body
		}
	}
	c, raw := p.connect(), request("look", 1400)
	for i := range 4 { // the time is what is tested
		c.write(raw[i*len(raw)/4 : (i+1)*len(raw)/4])
		time.Sleep(200 * time.Millisecond)
	}
	if a, err := c.read(); err != nil || a.status != 200 || a.took > time.Second {
		t.Errorf("status %d after %v, %v", a.status, a.took, err)
	}
	if n := p.counts().ClientEnds["descriptor_limit"]; n == 0 {
		t.Error("none made way")
	}
}

// connectManyIdle has clients connect and stay idle until stop is called, which returns the most descriptors that the
// node held meanwhile.
func (p *nodeProcess) connectManyIdle() (stop func() int) {
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
			if c, err := net.DialTimeout("tcp", p.addr, waitTimeout); err == nil {
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

// While discovery is down, idle clients would take every descriptor of a process whose system gives it fewer than its
// configuration says. When discovery is back, its list must be followed at once, its servers reached, the admin
// listener answered and a new configuration read.
func TestDescriptorReserveBesideIdleClients(t *testing.T) {
	const files, clients = 64, 150
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first := &discoveryServer{addr: l.Addr().String(), revision: 1, list: members(s1), changed: make(chan struct{})}
	srv := &http.Server{Handler: first}
	go func() { _ = srv.Serve(l) }()
	admin := freeAddress(t)
	p := startNode(t, nodeOptions{discovery: first.addr, sockets: 4096, env: []string{"ROUTER_OPERATOR=" + admin}})
	eventually(t, "watch", func() bool { return first.watchCount() > 0 })
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
	stop := p.connectManyIdle()
	defer stop()
	second := startDiscoveryServerAt(t, first.addr, members(s2))
	eventually(t, "the new list", func() bool { return second.watchCount() > 0 })
	if n := stop(); n > files*3/4 {
		t.Errorf("%d of %d descriptors were taken: half should be set aside, but for what was on its way", n, files)
	}
	if a := p.mustDo(request("look", 1400)); a.status != 200 || a.body != "two" {
		t.Errorf("%d %q after discovery's return", a.status, a.body)
	}
	resp, err := http.Get("http://" + admin + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	var figures map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&figures); err != nil {
		t.Error(err)
	}
	_ = resp.Body.Close()
	third := startDiscoveryServer(t, members(s1))
	p.configure("discovery", third.addr)
	p.reload("reload")
	eventually(t, "the list at the new address", func() bool { return third.watchCount() > 0 })
	if n := strings.Count(p.log.String(), `"code":"descriptors_short"`); n != 1 {
		t.Errorf("the log says %d times that descriptors run short", n)
	}
	got := p.counts()
	got.addUp(t)
	if got.Requests["unsent"] > 0 {
		t.Errorf("%d answers were not written", got.Requests["unsent"])
	}
}
