package main

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A new operator file turns [inventory] on or off, or changes a key of it, while a keyed request is out, and its connection is reset. The racks
// were numbered anew by that, and the repeat went to another rack, where it ran a second time. No rack has changed, so the repeat must go to a
// server of the same rack, which drops it. The neighbour is a SIGHUP that changes nothing.
func TestRepeatStaysInItsRackWhileInventoryIsTurnedOnAndOff(t *testing.T) {
	racks := []string{"1", "1", "2", "2", "3", "3", "named"}
	f := startPodFleet(t, racks)
	var list []member
	for i, s := range f.servers[:6] {
		m := s.member()
		m.Cell = 1 + i/2
		list = append(list, m)
	}
	const without = "[vitals]\nevery = \"60s\"\n"
	with := without + fmt.Sprintf("[inventory]\ndiscovery = true\n[[inventory.static]]\nid = \"a0\"\naddress = %q\nzone = \"a\"\npod = \"named\"\n", f.servers[6].addr)
	files := []string{with, without, with, strings.Replace(with, "discovery = true", "discovery = true\ntombstone = \"11m\"", 1), without, without}
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, without)
	p := startNode(t, nodeOptions{discovery: startDiscoveryServer(t, list).addr, env: []string{"TACKHUB_EDGE=" + edge}})
	eventually(t, "a served request", func() bool { return p.mustDo(request("look", 1000)).status == 200 })
	running, change := make(chan struct{}), make(chan struct{})
	for i, s := range f.servers {
		s.setBehavior(func(c net.Conn, req receivedRequest) bool {
			key := req.header.Get("Idempotency-Key")
			if key == "" {
				return respond(200, "done")(c, req)
			}
			first, _ := f.run(key, i)
			if !first {
				return respond(200, "dropped")(c, req)
			}
			running <- struct{}{}
			<-change
			return resetConn(c, req)
		})
	}
	for round, file := range files {
		for range 15 { // for the retry budget
			p.mustDo(request("look", 1000))
		}
		key := fmt.Sprintf("round-%d", round)
		result := make(chan response, 1)
		go func() {
			result <- p.mustDo(strings.Replace(request("store", 1400), "5c0f6e1a2b3d4c59", key, 1))
		}()
		<-running
		writeFile(t, edge, file)
		p.reload("reload")
		time.Sleep(50 * time.Millisecond) // the list reaches the balancer after the log line
		change <- struct{}{}
		resp := <-result
		f.mu.Lock()
		effects := f.effects[key]
		f.mu.Unlock()
		wantStatus, wantBody := 200, "dropped"
		if strings.HasPrefix(effects[0].where, "s6 ") { // it is alone in its pod, so nobody may get the repeat
			wantStatus, wantBody = 502, ""
		}
		if resp.status != wantStatus || resp.body != wantBody || len(effects) != 1 {
			t.Errorf("round %d: status %d %q, effects %+v, want the repeat dropped in the rack of the first attempt", round, resp.status, resp.body, effects)
		}
	}
}
