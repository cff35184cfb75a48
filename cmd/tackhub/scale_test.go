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

// manyBackends are 1,024 list entries that share a few listeners.
func manyBackends(t *testing.T) (listeners []*backend, list []member) {
	t.Helper()
	for i := range 16 {
		listeners = append(listeners, startBackend(t, fmt.Sprintf("listener-%d", i), respond(200, "done")))
	}
	for i := range 1024 {
		m := listeners[i%len(listeners)].member()
		m.ID = fmt.Sprintf("s-%04d", i)
		list = append(list, m)
	}
	return listeners, list
}

// The platform may have 1,024 servers and as many nodes. The node reads such a list, serves from all over it, follows a
// change of half of it, and stays within its memory.
func TestAThousandServersAndNodes(t *testing.T) {
	listeners, list := manyBackends(t)
	d := startDiscoveryServer(t, list)
	settings := strings.Replace(testSettings, `"fleet_size":1`, `"fleet_size":1024`, 1)
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings, known: list, sockets: 1024})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	ask := func() {
		t.Helper()
		for range 300 {
			if a := p.mustDo(request("look", 1400)); a.status != 200 {
				t.Fatalf("%d with 1,024 servers", a.status)
			}
		}
	}
	ask()
	met := 0
	for _, s := range listeners {
		if len(s.requests()) > 0 {
			met++
		}
	}
	if met < len(listeners)/2 { // 300 requests one after the other, by score and open connections
		t.Errorf("%d of %d groups of servers met a request", met, len(listeners))
	}
	gone := append([]member(nil), list[:512]...)
	for i := range gone {
		gone[i].Phase = "DELETED"
	}
	d.announce(gone...)
	eventually(t, "the change", func() bool { return p.counts().List["delta"] > 0 })
	ask()
	most := 64.0
	if raceEnabled { // the detector's own shadow memory, four times what the node holds
		most *= 4
	}
	if mb := p.residentMB(); mb > most {
		t.Errorf("%.0f MB resident with 1,024 servers and 1,024 nodes in the settings", mb)
	} else {
		t.Logf("%.1f MB resident with 1,024 servers and 1,024 nodes in the settings", mb)
	}
}

// The configuration names 1,024 nodes. The node reads it, sends gossip to all of them, and serves.
func TestAThousandGossipingNodes(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	settings := strings.Replace(withReports(), `"fleet_size":1`, `"fleet_size":1024`, 1)
	settings = strings.Replace(settings, `"may_cancel":true`, `"may_cancel":true,"peers":true`, 1)
	addresses := []string{freeAddress(t)}
	for i := 1; i < 1024; i++ {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.9:9", 200+i/250, 1+i%250))
	}
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings, peers: addresses})
	eventually(t, "the list", func() bool { return p.mustDo(request("look", 1400)).status == 200 })
}

// A static list in the operator file once had a limit of 1,000 servers, below what the platform may have.
func TestAThousandServersInTheOperatorFile(t *testing.T) {
	var edge strings.Builder
	edge.WriteString("[inventory]\ndiscovery = false\n")
	for i := range 1024 { // nobody listens there
		_, _ = fmt.Fprintf(&edge, "[[inventory.static]]\nid = \"s-%d\"\naddress = \"127.%d.%d.7:9\"\n", i, 210+i/250, 1+i%250)
	}
	path := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, path, edge.String())
	p := startNode(t, nodeOptions{discovery: startDiscoveryServer(t, []member{}).addr, env: []string{"TACKHUB_EDGE=" + path}})
	eventually(t, "1,024 servers", func() bool {
		a := p.mustDo("GET /_counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		var got struct {
			Registry struct {
				Entries int `json:"entries"`
			} `json:"registry"`
		}
		return json.Unmarshal([]byte(a.body), &got) == nil && got.Registry.Entries == 1024
	})
}

// Many nodes restart together while discovery is down or rejects every poll. Nine in ten must be ready within 10 s:
// they serve by the list in their configuration.
func TestSimultaneousStartsAreReadyInTime(t *testing.T) {
	const processes = 24
	s := startBackend(t, "s1", respond(200, "done"))
	down, l := freeAddress(t), listen(t)
	away := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	t.Cleanup(func() { _ = away.Close() })
	go func() { _ = away.Serve(l) }()
	settings := strings.Replace(testSettings, `"fleet_size":1`, `"fleet_size":300`, 1)
	var all []*nodeProcess
	began := time.Now()
	for i := range processes {
		at := down
		if i%2 == 0 {
			at = l.Addr().String()
		}
		all = append(all, launch(t, freeAddress(t), nodeOptions{discovery: at, settings: settings, known: members(s)}))
	}
	ready := 0
	for _, p := range all {
		eventually(t, "health", func() bool {
			a, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			return err == nil && a.status == 200
		})
		if time.Since(began) < 10*time.Second {
			ready++
		}
		if a := p.mustDo(request("look", 1400)); a.status != 200 {
			t.Errorf("ready, and answers %d", a.status)
		}
	}
	if ready*10 < processes*9 {
		t.Errorf("%d of %d were ready within 10 s", ready, processes)
	}
}
