package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// savedStateFixture is a state folder that an earlier version of the node wrote, before the identifiers of the code were renamed;
// see testdata/README.md.
const savedStateFixture = "testdata/state-v1"

// savedMembers returns the members in the newest generation of a state folder. They are decoded as generic JSON, so that the test
// checks the keys of the file independently of the program's types.
func savedMembers(t *testing.T, folder string) (file string, members []any) {
	t.Helper()
	generations, err := filepath.Glob(filepath.Join(folder, "inventory.0*"))
	if err != nil || len(generations) == 0 {
		t.Fatalf("folder %s: no generation of the saved state, %v", folder, err)
	}
	file = generations[len(generations)-1]
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	_, body, _ := bytes.Cut(raw, []byte("\n"))
	var state struct {
		Members []any `json:"members"`
	}
	if err := json.Unmarshal(body, &state); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return filepath.Base(file), state.Members
}

// copyFolder copies a folder to a temporary one and returns its path, so that a test cannot change a fixture.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "state")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// silentAddress returns the address of a listener that accepts connections and never responds.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return l.Addr().String()
}

// A new version starts while discovery is down and the inventory file is missing, with only the state folder that the previous
// version wrote. If it could not read that folder, or expected a field under another name, it would have no servers, send
// requests to a draining server, or lose a server's pod.
func TestNodeServesFromStateOfPreviousVersion(t *testing.T) {
	for name, discoveryAddress := range map[string]func(*testing.T) string{"discovery absent": freeAddress, "discovery silent": silentAddress} {
		t.Run(name, func(t *testing.T) {
			// These addresses are part of the fixture and outside the ranges that the other tests use.
			s1 := startBackendAt(t, "s1", "127.201.7.1:21871", respond(200, "one"))
			draining := startBackendAt(t, "s2", "127.201.7.2:21872", respond(200, "two"))
			s3 := startBackendAt(t, "s3", "127.201.7.3:21873", respond(200, "three"))
			retired := startBackendAt(t, "retired", "127.201.7.4:21874", respond(200, "retired"))
			folder := copyFolder(t, savedStateFixture)
			list, edge := filepath.Join(t.TempDir(), "servers.csv"), filepath.Join(t.TempDir(), "edge.toml")
			writeFile(t, edge, "[inventory]\nsave_every = \"20ms\"\nstate_dir = \""+folder+"\"\npoll = \"20ms\"\n[[inventory.file]]\npath = \""+list+
				"\"\nname = \"tools\"\ntrailer = true\n")

			p := startNode(t, nodeOptions{discovery: discoveryAddress(t), env: []string{"TACKHUB_EDGE=" + edge}})
			p.waitLog(`"code":"inventory_stale"`, 1)
			if p.logCount(`"code":"state_skipped"`) > 0 {
				t.Error("the node skipped a generation that the previous version saved")
			}
			for range 60 {
				if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
					t.Fatalf("request with the saved list: status %d, want 200", resp.status)
				}
			}
			if len(s1.requests()) == 0 || len(s3.requests()) == 0 {
				t.Errorf("s1 and s3 received %d and %d requests, want both to be used", len(s1.requests()), len(s3.requests()))
			}
			if n := len(draining.requests()); n > 0 {
				t.Errorf("the server saved as draining received %d requests, want 0", n)
			}
			if n := len(retired.requests()); n > 0 {
				t.Errorf("the server that only the older generation contains received %d requests, want 0", n)
			}
			writeFile(t, list, "id,address,zone,pod,size,phase,tags,rack\n"+
				"s1,127.201.7.1:21871,a,p1,1,serving,ssd;big,r12\ns2,127.201.7.2:21872,a,p1,1,draining,,r12\n"+
				"s3,127.201.7.3:21873,a,p2,1,serving,ssd,r13\ns4,127.201.7.5:21875,a,p2,1,draining,,r13\n# end 4\n")
			checkNextGeneration(t, p, folder)
		})
	}
}

// checkNextGeneration checks that the node saves a next generation with one more member, and the other members with the same keys
// and values as before. The sources of the fields may differ: a field that came from discovery now comes from the saved state.
func checkNextGeneration(t *testing.T, p *nodeProcess, folder string) {
	t.Helper()
	_, before := savedMembers(t, savedStateFixture)
	var file string
	var after []any
	eventually(t, "a saved generation with the new member", func() bool {
		if p.counts().Inventory["saves"] > 0 {
			file, after = savedMembers(t, folder)
		}
		return len(after) == len(before)+1
	})
	if file <= "inventory.000000000002" {
		t.Errorf("newest generation = %s, want one after inventory.000000000002", file)
	}
	for _, members := range [][]any{before, after} {
		for _, m := range members {
			fields, ok := m.(map[string]any)
			if !ok || fields["from"] == nil {
				t.Fatalf("saved member has no field sources (\"from\"): %v", m)
			}
			delete(fields, "from")
		}
	}
	if after = after[:len(before)]; !reflect.DeepEqual(before, after) {
		t.Errorf("saved members differ:\ngot  %v\nwant %v", after, before)
	}
}
