package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// manyBackends starts 16 listeners and returns them with 1,024 list entries that share their addresses.
func manyBackends(t *testing.T) (listeners []*backend, list []member) {
	t.Helper()
	for i := range 16 {
		listeners = append(listeners, startBackend(t, fmt.Sprintf("listener-%d", i), respond(200, "done")))
	}
	for i := range 1024 {
		entry := listeners[i%len(listeners)].member()
		entry.ID = fmt.Sprintf("s-%04d", i)
		list = append(list, entry)
	}
	return listeners, list
}

// The platform may have 1,024 servers and as many nodes. The node must distribute requests over such a list, apply a
// change of half of the list, and stay within its memory limit.
func TestNodeWith1024ServersStaysWithinMemory(t *testing.T) {
	listeners, list := manyBackends(t)
	d := startDiscoveryServer(t, list)
	settings := strings.Replace(testSettings, `"fleet_size":1`, `"fleet_size":1024`, 1)
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings, known: list, sockets: 1024})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	sendRequests := func() {
		t.Helper()
		for range 300 {
			if resp := p.mustDo(request("look", 1400)); resp.status != 200 {
				t.Fatalf("got status %d with 1,024 servers, want 200", resp.status)
			}
		}
	}
	sendRequests()
	usedListeners := 0
	for _, s := range listeners {
		if len(s.requests()) > 0 {
			usedListeners++
		}
	}
	if usedListeners < len(listeners)/2 { // 300 sequential requests prefer servers with a good score and open connections
		t.Errorf("%d of %d listeners got a request, want at least half", usedListeners, len(listeners))
	}
	deleted := append([]member(nil), list[:512]...)
	for i := range deleted {
		deleted[i].Phase = "DELETED"
	}
	d.announce(deleted...)
	eventually(t, "the changed list", func() bool { return p.counts().List["delta"] > 0 })
	sendRequests()
	maxMB := 64.0
	if raceEnabled { // the shadow memory of the race detector takes four times the node's own memory
		maxMB *= 4
	}
	if mb := p.residentMB(); mb > maxMB {
		t.Errorf("got %.0f MB resident with 1,024 servers and 1,024 nodes in the settings, want at most %.0f", mb, maxMB)
	} else {
		t.Logf("%.1f MB resident with 1,024 servers and 1,024 nodes in the settings", mb)
	}
}

// The configuration lists 1,024 nodes as gossip peers. The node must accept it, and serve while it sends gossip.
func TestNodeWith1024GossipPeersServes(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	settings := strings.Replace(settingsWithLoadReports(), `"fleet_size":1`, `"fleet_size":1024`, 1)
	settings = strings.Replace(settings, `"may_cancel":true`, `"may_cancel":true,"peers":true`, 1)
	addresses := []string{freeAddress(t)}
	for i := 1; i < 1024; i++ {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.9:9", 200+i/250, 1+i%250))
	}
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings, peers: addresses})
	eventually(t, "a response with status 200", func() bool { return p.mustDo(request("look", 1400)).status == 200 })
}

// The static list in the operator file was once limited to 1,000 servers, but the platform may have 1,024.
func TestOperatorFileWith1024ServersIsAccepted(t *testing.T) {
	var edge strings.Builder
	edge.WriteString("[inventory]\ndiscovery = false\n")
	for i := range 1024 { // no server listens on these addresses
		_, _ = fmt.Fprintf(&edge, "[[inventory.static]]\nid = \"s-%d\"\naddress = \"127.%d.%d.7:9\"\n", i, 210+i/250, 1+i%250)
	}
	path := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, path, edge.String())
	p := startNode(t, nodeOptions{discovery: startDiscoveryServer(t, []member{}).addr, env: []string{"TACKHUB_EDGE=" + path}})
	eventually(t, "1,024 entries in the endpoint list", func() bool {
		resp := p.mustDo("GET /_counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		var got struct {
			Registry struct {
				Entries int `json:"entries"`
			} `json:"registry"`
		}
		return json.Unmarshal([]byte(resp.body), &got) == nil && got.Registry.Entries == 1024
	})
}

// Many nodes restart together while discovery is down or rejects every poll. Nine in ten must be ready within 10 s, with
// the endpoint list from their configuration.
func TestSimultaneousStartsAreReadyInTime(t *testing.T) {
	const processes = 24
	s := startBackend(t, "s1", respond(200, "done"))
	unreachable, l := freeAddress(t), listen(t)
	rejecting := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	t.Cleanup(func() { _ = rejecting.Close() })
	go func() { _ = rejecting.Serve(l) }()
	settings := strings.Replace(testSettings, `"fleet_size":1`, `"fleet_size":300`, 1)
	var nodes []*nodeProcess
	began := time.Now()
	for i := range processes {
		discoveryAddr := unreachable
		if i%2 == 0 {
			discoveryAddr = l.Addr().String()
		}
		nodes = append(nodes, launch(t, freeAddress(t), nodeOptions{discovery: discoveryAddr, settings: settings, known: members(s)}))
	}
	ready := 0
	for _, p := range nodes {
		eventually(t, "a health check with status 200", func() bool {
			resp, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			return err == nil && resp.status == 200
		})
		if time.Since(began) < 10*time.Second {
			ready++
		}
		if resp := p.mustDo(request("look", 1400)); resp.status != 200 {
			t.Errorf("got status %d after the health check succeeded, want 200", resp.status)
		}
	}
	if ready*10 < processes*9 {
		t.Errorf("%d of %d nodes were ready within 10s, want at least 9 in 10", ready, processes)
	}
}
