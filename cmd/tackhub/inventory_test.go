package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

// inventoryCSV is a list of servers with their pods.
func inventoryCSV(pods map[*backend]string, servers ...*backend) string {
	out := "id,address,zone,pod\n"
	for _, s := range servers {
		out += fmt.Sprintf("%s,%s,a,%s\n", s.id, s.addr, pods[s])
	}
	return out + fmt.Sprintf("# end %d\n", len(servers))
}

// startWithInventory starts a node whose servers stand in a file, beside an empty discovery or a full one.
func startWithInventory(t *testing.T, list, more string, d *discoveryServer) (p *nodeProcess, path, edge string) {
	t.Helper()
	dir := t.TempDir()
	path, edge = filepath.Join(dir, "servers.csv"), filepath.Join(dir, "edge.toml")
	writeFile(t, path, list)
	writeFile(t, edge, "[inventory]\npoll = \"20ms\"\nsettle = \"20ms\"\nsave_every = \"20ms\"\nremove_least = 2\nremove_share = 0.4\n"+more+
		"\n[[inventory.file]]\npath = \""+path+"\"\nname = \"tools\"\ntrailer = true\n")
	return startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}}), path, edge
}

// A tool writes corrupted inventory files and then a good one. Nothing may change until the good one is there, and no
// request may be lost. Then the removed server gets nothing new, and the added one serves.
func TestInventoryFollowsGoodFilesOnly(t *testing.T) {
	s1, s2, s3 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two")), startBackend(t, "s3", respond(200, "three"))
	pods := map[*backend]string{s1: "p1", s2: "p2", s3: "p1"}
	p, path, _ := startWithInventory(t, inventoryCSV(pods, s1, s2), "discovery = false", startDiscoveryServer(t, []member{}))
	eventually(t, "servers", func() bool { return p.mustDo(request("look", 1000)).status == 200 })

	var asked, bad atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { // traffic runs all the while
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if a, err := p.do(request("look", 1000)); err != nil || a.status != 200 {
				bad.Add(1)
			}
			asked.Add(1)
		}
	}()
	whole := inventoryCSV(pods, s1, s3)
	for i, cut := range []int{1, len(whole) / 3, len(whole) - 8, len(whole) - 1} {
		writeFile(t, path, whole[:cut])
		p.waitLog(`"code":"inventory_bad"`, i+1)
	}
	writeFile(t, path, strings.Replace(whole, "# end 2", s1.id+","+s2.addr+",a,p9\n# end 3", 1))
	p.waitLog(`there with pod \"p1\", here with pod \"p9\"`, 1)
	if len(s3.requests()) > 0 {
		t.Error("a server was used that only files that were not taken name")
	}
	before := len(s2.requests())
	eventually(t, "the old list to stay in force", func() bool { return len(s2.requests()) > before })
	writeFile(t, path, whole)
	p.waitLog(`"code":"inventory_list"`, 2)
	eventually(t, "the new server", func() bool { return len(s3.requests()) > 0 })
	gone := len(s2.requests())
	more := asked.Load() + 30
	eventually(t, "more traffic", func() bool { return asked.Load() > more })
	close(stop)
	<-ended
	if n := len(s2.requests()); n > gone+1 { // one may have been on its way
		t.Errorf("%d requests reached the server that was taken away", n-gone)
	}
	if bad.Load() > 0 {
		t.Errorf("%d of %d requests were not served", bad.Load(), asked.Load())
	}
	c := p.counts()
	c.addUp(t)
	if c.Inventory["lists"] != 2 || c.Inventory["bad"] < 5 || c.Inventory["pushes"] != 2 {
		t.Errorf("counters %v: want two lists and one push for each", c.Inventory)
	}
}

// A file removes most of the fleet, as a tool does that read half of its source. It is held until an operator confirms
// it.
func TestInventoryHoldsMassRemoval(t *testing.T) {
	s1, s2, s3 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two")), startBackend(t, "s3", respond(200, "three"))
	pods := map[*backend]string{s1: "p", s2: "p", s3: "p"}
	p, path, _ := startWithInventory(t, inventoryCSV(pods, s1, s2, s3), "discovery = false", startDiscoveryServer(t, []member{}))
	p.waitLog(`"code":"inventory_list"`, 1)
	writeFile(t, path, inventoryCSV(pods, s1))
	p.waitLog(`"code":"inventory_held"`, 1)
	eventually(t, "the removed to serve on", func() bool {
		p.mustDo(request("look", 1000))
		return len(s2.requests()) > 0 && len(s3.requests()) > 0
	})
	if out, code := runTackhub(t, nil, "inventory", "confirm", path); code != 0 {
		t.Fatalf("exit code %d: %s", code, out)
	}
	p.waitLog(`"code":"inventory_released"`, 1)
	n := len(s2.requests()) + len(s3.requests())
	for range 20 {
		if a := p.mustDo(request("look", 1000)); a.status != 200 || a.body != "one" {
			t.Fatalf("%d %q after the confirmation", a.status, a.body)
		}
	}
	if len(s2.requests())+len(s3.requests()) != n {
		t.Error("a server that was taken away was used")
	}
}

// Discovery decides on phases, the file on pods. A keyed request is retried within the file's pod only, and a drain by
// discovery holds although the file lists the server as serving.
func TestInventoryBesideDiscovery(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	d := startDiscoveryServer(t, members(s1, s2)) // both in cell 0 by discovery
	p, _, _ := startWithInventory(t, inventoryCSV(map[*backend]string{s1: "p1", s2: "p2"}, s1, s2), "", d)
	p.waitLog(`"field":"pod"`, 2)
	s1.setBehavior(resetConn)
	s2.setBehavior(resetConn)
	if a := p.mustDo(request("store", 1000)); a.status == 200 {
		t.Errorf("status %d though both break", a.status)
	}
	if len(s1.requests()) > 0 && len(s2.requests()) > 0 {
		t.Error("a keyed request that may have run went to another pod")
	}
	s1.setBehavior(respond(200, "one"))
	s2.setBehavior(respond(200, "two"))
	drained := s1.member()
	drained.Phase = "DRAINING"
	d.announce(drained)
	eventually(t, "the drain", func() bool { return d.watchCount() > 1 })
	eventually(t, "only the other to serve", func() bool {
		n := len(s1.requests())
		for range 10 {
			p.mustDo(request("look", 1000))
		}
		return len(s1.requests()) == n
	})
}

// All sources are down at a start, and the newest generation of the saved state is torn. The node serves by the
// generation before and reports it as stale, until the sources are back.
func TestInventoryRecovers(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	pods := map[*backend]string{s1: "p1", s2: "p1"}
	state := filepath.Join(t.TempDir(), "state")
	more := "discovery = false\nstate_dir = \"" + state + "\""
	p, path, edge := startWithInventory(t, inventoryCSV(pods, s1, s2), more, startDiscoveryServer(t, []member{}))
	eventually(t, "a save", func() bool { return p.counts().Inventory["saves"] > 0 })
	if err := p.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	p.exit()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(state, "inventory.0*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%v %v", files, err)
	}
	if err := os.WriteFile(filepath.Join(state, "inventory.999999999998"), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	p = startNode(t, nodeOptions{discovery: freeAddress(t), env: []string{"TACKHUB_EDGE=" + edge}})
	p.waitLog(`"code":"state_skipped"`, 1)
	p.waitLog(`"code":"inventory_stale"`, 1)
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d from the saved list", a.status)
	}
	if out, code := runTackhub(t, nil, "inventory", "show", "--edge", edge); code != 0 || !strings.Contains(out, "pod=tools") {
		t.Errorf("show: %d\n%s", code, out)
	}
	writeFile(t, path, inventoryCSV(pods, s1, s2))
	p.waitLog(`"code":"inventory_fresh"`, 1)
}

// SIGHUP turns the inventory on, changes and turns it off while traffic runs. No request may be lost.
func TestInventoryTurnedOnAndOff(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	d := startDiscoveryServer(t, members(s1))
	dir := t.TempDir()
	path, edge := filepath.Join(dir, "servers.yaml"), filepath.Join(dir, "edge.toml")
	writeFile(t, path, fmt.Sprintf("- {id: s1, address: %q}\n- {id: s2, address: %q}\n", s1.addr, s2.addr))
	writeFile(t, edge, "")
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	on := "[inventory]\npoll = \"20ms\"\nsettle = \"20ms\"\n[[inventory.file]]\npath = \"" + path + "\"\n"
	eventually(t, "the first server", func() bool { return p.mustDo(request("look", 1000)).status == 200 })
	for i, text := range []string{on, strings.Replace(on, "20ms", "30ms", 1), ""} {
		writeFile(t, edge, text)
		p.reload("edge")
		before := len(s2.requests())
		for range 40 {
			if a := p.mustDo(request("look", 1000)); a.status != 200 {
				t.Fatalf("status %d after reload %d", a.status, i)
			}
		}
		if i < 2 {
			eventually(t, "the file's server", func() bool {
				p.mustDo(request("look", 1000))
				return len(s2.requests()) > before
			})
		}
	}
	eventually(t, "discovery's list alone", func() bool {
		n := len(s2.requests())
		for range 10 {
			p.mustDo(request("look", 1000))
		}
		return len(s2.requests()) == n
	})
}
