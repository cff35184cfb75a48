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

// Each client opens a connection, sends one request and keeps the connection open. All clients together open connections for at
// most a third of the node's descriptors, and send no request that would need another one. The node must therefore close idle
// connections long before that third is used up.
func TestIdleClientsAreEvictedEarly(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s) // 256 descriptors
	for i := range 200 {
		c := p.connect()
		c.write(request("look", 1000))
		if resp, err := c.read(); err != nil || resp.status != 200 {
			t.Fatalf("connection %d: %v, %v, want status 200", i, resp, err)
		}
	}
	time.Sleep(60 * time.Millisecond) // a connection can be evicted after it has been idle for 50 ms
	eventually(t, "fewer than a sixth of the descriptors in use", func() bool { return p.counts().Clients["open"] < 256/6 })
}

// Far more clients connect at once than the node has descriptors, and send nothing. A client that connects after them and sends
// a request must be served without a delay, and the silent connections must be closed within maxCloseTime.
func TestSilentConnectionsDoNotDelayRequests(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	began := time.Now()
	var clients []*client
	for range 300 {
		clients = append(clients, p.connect())
	}
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("status %d after %v, want 200", resp.status, resp.took)
	}
	if n := p.counts().Clients["opened"]; n > 100 {
		t.Errorf("the node accepted %d connections although nearly all clients were silent, want at most 100", n)
	}
	for i, c := range clients {
		if _, err := c.read(); err != nil && time.Since(began) > maxCloseTime {
			t.Fatalf("connection %d was closed after %v, want at most %v", i, time.Since(began), maxCloseTime)
		}
	}
}

// More clients keep their connections open than the node has descriptors. The node must evict idle connections in favor of new
// ones and serve every client.
func TestIdleClientsAreEvictedAtDescriptorLimit(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for i := range 100 {
		c := p.connect()
		c.write(request("look", 5000))
		if resp, err := c.read(); err != nil || resp.status != 200 {
			t.Fatalf("connection %d: %v, %v, want status 200", i, resp, err)
		}
	}
	eventually(t, "84 evictions", func() bool { return p.counts().ClientEnds["descriptor_limit"] >= 84 })
}

// Far more clients connect and send a request at once than the node has descriptors. The node must not evict a new connection
// as idle before its request has arrived.
func TestConnectionBurstLosesNoRequest(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 64})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	var pending []<-chan asyncResult
	for range 300 {
		pending = append(pending, p.send(request("look", 5000, "Connection: close")))
	}
	for _, result := range pending {
		await(t, "a response", result)
	}
	got := p.counts()
	got.checkRequestTotals(t)
	if got.ClientEnds["descriptor_limit"] > 0 {
		t.Errorf("%d new connections were evicted at the descriptor limit, want 0", got.ClientEnds["descriptor_limit"])
	}
}

// The system allows the process fewer descriptors than its configuration, so accept fails. The node must keep serving with the
// descriptors that it has, and recover when clients close their connections.
func TestRecoveryFromDescriptorExhaustion(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 4096})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	lim := syscall.Rlimit{Cur: 24, Max: 24}
	if err := prlimit(p.cmd.Process.Pid, &lim); err != nil {
		t.Fatal(err)
	}
	var connections []*client
	for range 60 {
		c := p.connect()
		c.write(request("look", 5000))
		if resp, err := c.read(); err != nil || resp.status != 200 && resp.status != 503 {
			t.Fatalf("response %v, %v, want status 200 or 503", resp, err)
		}
		connections = append(connections, c)
	}
	// The node evicts an idle connection in favor of the client. If no descriptor is left for a connection to the server, it rejects
	// the request at once.
	if resp := p.mustDo(request("look", 5000)); resp.status != 200 && resp.status != 503 {
		t.Errorf("status %d with no descriptor left, want 200 or 503", resp.status)
	}
	if n := p.counts().Clients["paused"]; n == 0 {
		t.Error("accept never failed: the limit of 24 descriptors had no effect")
	}
	for _, c := range connections {
		_ = c.Close()
	}
	eventually(t, "a served request after the connections were closed", func() bool {
		resp, err := p.do(request("look", 1000))
		return err == nil && resp.status == 200
	})
}

// Twice as many clients connect as the node accepts, and each sends only part of a request. The node must evict these connections
// in favor of a client that sends a complete request slowly.
func TestPartialRequestsAreEvicted(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 96})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for i := range 60 {
		c := p.connect()
		if i%2 == 0 {
			c.write("GET /look HTTP/1.1\r\nX-Request")
		} else {
			c.write(strings.TrimSuffix(request("bill", 1000), "=12")) // half a body
		}
	}
	c, raw := p.connect(), request("look", 1400)
	for i := range 4 { // sends the request in four parts over 0.8 s
		c.write(raw[i*len(raw)/4 : (i+1)*len(raw)/4])
		time.Sleep(200 * time.Millisecond)
	}
	if resp, err := c.read(); err != nil || resp.status != 200 || resp.took > time.Second {
		t.Errorf("status %d after %v, %v, want 200 within a second", resp.status, resp.took, err)
	}
	if n := p.counts().ClientEnds["descriptor_limit"]; n == 0 {
		t.Error("no connection was evicted at the descriptor limit")
	}
}

// connectManyIdle opens idle client connections until stop is called. stop returns the highest number of descriptors that the
// node had open meanwhile.
func (p *nodeProcess) connectManyIdle() (stop func() int) {
	maxOpen := 0
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var conns []net.Conn
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
		for len(conns) < 5000 {
			if c, err := net.DialTimeout("tcp", p.addr, waitTimeout); err == nil {
				_, _ = c.Write([]byte("G")) // the kernel hands over a connection only after its first data (TCP_DEFER_ACCEPT)
				conns = append(conns, c)
			}
			if openFiles, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				maxOpen = max(maxOpen, len(openFiles))
			}
			select {
			case <-stopping:
				return
			default:
			}
		}
	}()
	return sync.OnceValue(func() int {
		close(stopping)
		<-done
		return maxOpen
	})
}

// The system allows the process fewer descriptors than its configuration, and idle clients connect while discovery is down. The
// node must reserve descriptors: when discovery is back, it must apply the new list, connect to the listed servers, serve the
// admin listener and reload its configuration.
func TestDescriptorsAreReservedFromIdleClients(t *testing.T) {
	const descriptorLimit, clients = 64, 150
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	originalDiscovery := &discoveryServer{addr: l.Addr().String(), revision: 1, list: members(s1), changed: make(chan struct{})}
	srv := &http.Server{Handler: originalDiscovery}
	go func() { _ = srv.Serve(l) }()
	admin := freeAddress(t)
	p := startNode(t, nodeOptions{discovery: originalDiscovery.addr, sockets: 4096, env: []string{"ROUTER_OPERATOR=" + admin}})
	eventually(t, "the first discovery watch", func() bool { return originalDiscovery.watchCount() > 0 })
	lim := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := prlimit(p.cmd.Process.Pid, &lim); err != nil {
		t.Fatal(err)
	}
	_ = srv.Close()
	for i := range clients {
		c := p.connect() // stays open until the end of the test
		if i%2 == 0 {
			continue
		}
		c.write(request("look", 1400))
		if clientResp, err := c.read(); err != nil || clientResp.status != 200 && clientResp.status != 503 {
			t.Fatalf("client %d: %v, %v, want status 200 or 503", i, clientResp, err)
		}
	}
	stop := p.connectManyIdle()
	defer stop()
	restartedDiscovery := startDiscoveryServerAt(t, originalDiscovery.addr, members(s2))
	eventually(t, "the new list", func() bool { return restartedDiscovery.watchCount() > 0 })
	if n := stop(); n > descriptorLimit*3/4 {
		t.Errorf("%d of %d descriptors were open, want at most three quarters: the unreserved half and the connections being accepted", n, descriptorLimit)
	}
	if clientResp := p.mustDo(request("look", 1400)); clientResp.status != 200 || clientResp.body != "two" {
		t.Errorf("request after discovery is back: status %d, body %q, want 200, \"two\"", clientResp.status, clientResp.body)
	}
	resp, err := http.Get("http://" + admin + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	var stats map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		t.Error(err)
	}
	_ = resp.Body.Close()
	otherDiscovery := startDiscoveryServer(t, members(s1))
	p.configure("discovery", otherDiscovery.addr)
	p.reload("reload")
	eventually(t, "the list at the new address", func() bool { return otherDiscovery.watchCount() > 0 })
	if n := strings.Count(p.log.String(), `"code":"descriptors_short"`); n != 1 {
		t.Errorf("descriptors_short was logged %d times, want 1", n)
	}
	got := p.counts()
	got.checkRequestTotals(t)
	if got.Requests["unsent"] > 0 {
		t.Errorf("%d responses were not written, want 0", got.Requests["unsent"])
	}
}
