package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

// inventoryCSV returns an inventory file that lists the servers with their pods and ends with a trailer line.
func inventoryCSV(pods map[*backend]string, servers ...*backend) string {
	out := "id,address,zone,pod\n"
	for _, s := range servers {
		out += fmt.Sprintf("%s,%s,a,%s\n", s.id, s.addr, pods[s])
	}
	return out + fmt.Sprintf("# end %d\n", len(servers))
}

// startWithInventory starts a node with an inventory file and the given discovery server. extra is added to the
// [inventory] section. It returns the node and the paths of the inventory file and of the operator file.
func startWithInventory(t *testing.T, list, extra string, d *discoveryServer) (p *nodeProcess, path, edge string) {
	t.Helper()
	dir := t.TempDir()
	path, edge = filepath.Join(dir, "servers.csv"), filepath.Join(dir, "edge.toml")
	writeFile(t, path, list)
	writeFile(t, edge, "[inventory]\npoll = \"20ms\"\nsettle = \"20ms\"\nsave_every = \"20ms\"\nremove_least = 2\nremove_share = 0.4\n"+extra+
		"\n[[inventory.file]]\npath = \""+path+"\"\nname = \"tools\"\ntrailer = true\n")
	return startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}}), path, edge
}

// A tool writes truncated and contradictory inventory files, and then a valid one. The server list must not change until the
// valid file is written, and no request may fail. Then the added server must get requests, and the removed one no
// new requests.
func TestInvalidInventoryFilesAreIgnored(t *testing.T) {
	s1, s2, s3 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two")), startBackend(t, "s3", respond(200, "three"))
	pods := map[*backend]string{s1: "p1", s2: "p2", s3: "p1"}
	p, path, _ := startWithInventory(t, inventoryCSV(pods, s1, s2), "discovery = false", startDiscoveryServer(t, []member{}))
	eventually(t, "a served request", func() bool { return p.mustDo(request("look", 1000)).status == 200 })

	var sent, failed atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { // sends requests until stop is closed
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if resp, err := p.do(request("look", 1000)); err != nil || resp.status != 200 {
				failed.Add(1)
			}
			sent.Add(1)
		}
	}()
	valid := inventoryCSV(pods, s1, s3)
	for i, length := range []int{1, len(valid) / 3, len(valid) - 8, len(valid) - 1} {
		writeFile(t, path, valid[:length])
		p.waitLog(`"code":"inventory_bad"`, i+1)
	}
	writeFile(t, path, strings.Replace(valid, "# end 2", s1.id+","+s2.addr+",a,p9\n# end 3", 1))
	p.waitLog(`there with pod \"p1\", here with pod \"p9\"`, 1)
	if len(s3.requests()) > 0 {
		t.Errorf("s3 received %d requests, want 0: only invalid files list it", len(s3.requests()))
	}
	before := len(s2.requests())
	eventually(t, "another request at s2", func() bool { return len(s2.requests()) > before })
	writeFile(t, path, valid)
	p.waitLog(`"code":"inventory_list"`, 2)
	eventually(t, "a request at the new server", func() bool { return len(s3.requests()) > 0 })
	countAtRemoval := len(s2.requests())
	target := sent.Load() + 30
	eventually(t, "30 more requests", func() bool { return sent.Load() > target })
	close(stop)
	<-ended
	if n := len(s2.requests()); n > countAtRemoval+1 { // one may have been in flight
		t.Errorf("the removed server received %d requests after its removal, want at most 1", n-countAtRemoval)
	}
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed, want 0", failed.Load(), sent.Load())
	}
	c := p.counts()
	c.checkRequestTotals(t)
	if c.Inventory["lists"] != 2 || c.Inventory["bad"] < 5 || c.Inventory["pushes"] != 2 {
		t.Errorf("inventory counters = %v, want 2 lists, at least 5 bad files and 2 pushes", c.Inventory)
	}
}

// A new inventory file removes two of three servers, as happens when a tool has read its source incompletely. The node must not
// apply the file until an operator confirms it.
func TestInventoryMassRemovalNeedsConfirmation(t *testing.T) {
	s1, s2, s3 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two")), startBackend(t, "s3", respond(200, "three"))
	pods := map[*backend]string{s1: "p", s2: "p", s3: "p"}
	p, path, _ := startWithInventory(t, inventoryCSV(pods, s1, s2, s3), "discovery = false", startDiscoveryServer(t, []member{}))
	p.waitLog(`"code":"inventory_list"`, 1)
	writeFile(t, path, inventoryCSV(pods, s1))
	p.waitLog(`"code":"inventory_held"`, 1)
	eventually(t, "requests at the servers that the file removes", func() bool {
		p.mustDo(request("look", 1000))
		return len(s2.requests()) > 0 && len(s3.requests()) > 0
	})
	if out, code := runTackhub(t, nil, "inventory", "confirm", path); code != 0 {
		t.Fatalf("tackhub inventory confirm: exit code %d, want 0: %s", code, out)
	}
	p.waitLog(`"code":"inventory_released"`, 1)
	n := len(s2.requests()) + len(s3.requests())
	for range 20 {
		if resp := p.mustDo(request("look", 1000)); resp.status != 200 || resp.body != "one" {
			t.Fatalf("request after the confirmation: status %d, body %q, want 200, \"one\"", resp.status, resp.body)
		}
	}
	if len(s2.requests())+len(s3.requests()) != n {
		t.Error("a removed server received a request after the confirmation")
	}
}

// Discovery and an inventory file list the same servers. The pod comes from the file and the phase from discovery: a keyed
// request must be retried within the file's pod only, and a server that drains in discovery gets no requests although the file
// lists it as serving.
func TestInventoryIsMergedWithDiscovery(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	d := startDiscoveryServer(t, members(s1, s2)) // discovery lists both in cell 0
	p, _, _ := startWithInventory(t, inventoryCSV(map[*backend]string{s1: "p1", s2: "p2"}, s1, s2), "", d)
	p.waitLog(`"field":"pod"`, 2)
	s1.setBehavior(resetConn)
	s2.setBehavior(resetConn)
	if resp := p.mustDo(request("store", 1000)); resp.status == 200 {
		t.Errorf("status %d although both servers reset their connections, want an error status", resp.status)
	}
	if len(s1.requests()) > 0 && len(s2.requests()) > 0 {
		t.Error("a keyed request that may have been executed was retried in another pod")
	}
	s1.setBehavior(respond(200, "one"))
	s2.setBehavior(respond(200, "two"))
	drained := s1.member()
	drained.Phase = "DRAINING"
	d.announce(drained)
	eventually(t, "the drain to be received", func() bool { return d.watchCount() > 1 })
	eventually(t, "no more requests at the draining server", func() bool {
		n := len(s1.requests())
		for range 10 {
			p.mustDo(request("look", 1000))
		}
		return len(s1.requests()) == n
	})
}

// All sources are down when a node starts, and the newest generation of the saved state is corrupted. The node must use the
// previous generation and report it as stale until a source is back.
func TestInventoryFallsBackToSavedState(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	pods := map[*backend]string{s1: "p1", s2: "p1"}
	state := filepath.Join(t.TempDir(), "state")
	extra := "discovery = false\nstate_dir = \"" + state + "\""
	p, path, edge := startWithInventory(t, inventoryCSV(pods, s1, s2), extra, startDiscoveryServer(t, []member{}))
	eventually(t, "a saved state", func() bool { return p.counts().Inventory["saves"] > 0 })
	if err := p.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	p.exit()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(state, "inventory.0*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("generations of the saved state = %v, %v, want at least one", files, err)
	}
	if err := os.WriteFile(filepath.Join(state, "inventory.999999999998"), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	p = startNode(t, nodeOptions{discovery: freeAddress(t), env: []string{"TACKHUB_EDGE=" + edge}})
	p.waitLog(`"code":"state_skipped"`, 1)
	p.waitLog(`"code":"inventory_stale"`, 1)
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("request with the saved list: status %d, want 200", resp.status)
	}
	if out, code := runTackhub(t, nil, "inventory", "show", "--edge", edge); code != 0 || !strings.Contains(out, "pod=tools") {
		t.Errorf("tackhub inventory show: exit code %d, want 0 and pod=tools:\n%s", code, out)
	}
	writeFile(t, path, inventoryCSV(pods, s1, s2))
	p.waitLog(`"code":"inventory_fresh"`, 1)
}

// Reloads enable the inventory, change it and disable it between requests. No request may fail.
func TestReloadEnablesAndDisablesInventory(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	d := startDiscoveryServer(t, members(s1))
	dir := t.TempDir()
	path, edge := filepath.Join(dir, "servers.yaml"), filepath.Join(dir, "edge.toml")
	writeFile(t, path, fmt.Sprintf("- {id: s1, address: %q}\n- {id: s2, address: %q}\n", s1.addr, s2.addr))
	writeFile(t, edge, "")
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	enabled := "[inventory]\npoll = \"20ms\"\nsettle = \"20ms\"\n[[inventory.file]]\npath = \"" + path + "\"\n"
	eventually(t, "the first server", func() bool { return p.mustDo(request("look", 1000)).status == 200 })
	for i, text := range []string{enabled, strings.Replace(enabled, "20ms", "30ms", 1), ""} {
		writeFile(t, edge, text)
		p.reload("edge")
		before := len(s2.requests())
		for range 40 {
			if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
				t.Fatalf("request after reload %d: status %d, want 200", i, resp.status)
			}
		}
		if i < 2 {
			eventually(t, "a request at the server of the file", func() bool {
				p.mustDo(request("look", 1000))
				return len(s2.requests()) > before
			})
		}
	}
	eventually(t, "no more requests at the server of the file", func() bool {
		n := len(s2.requests())
		for range 10 {
			p.mustDo(request("look", 1000))
		}
		return len(s2.requests()) == n
	})
}
