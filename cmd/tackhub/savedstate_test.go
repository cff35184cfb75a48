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

// savedStateFixture is a state folder that the version before the rename of the code's identifiers wrote; see
// testdata/README.md.
const savedStateFixture = "testdata/state-v1"

// savedMembers are the members in the newest generation of a state folder, as generic JSON: no type of the program stands
// between the test and the file's own keys.
func savedMembers(t *testing.T, folder string) (file string, members []any) {
	t.Helper()
	generations, err := filepath.Glob(filepath.Join(folder, "inventory.0*"))
	if err != nil || len(generations) == 0 {
		t.Fatalf("no generation in %s: %v", folder, err)
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

// copyFolder copies the files of a folder and gives the copy, so that a test cannot change a fixture.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "state")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// silentAddress accepts connections and never answers on them.
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

// A new version is installed while discovery is down and the inventory file is missing. All it has is the state folder that
// the version before it wrote. If it could not read that folder, or read a field under another name, it would have no
// servers, send requests to a draining one, or lose a server's pod.
func TestNodeServesFromStateOfPreviousVersion(t *testing.T) {
	for name, discoveryAddress := range map[string]func(*testing.T) string{"discovery absent": freeAddress, "discovery silent": silentAddress} {
		t.Run(name, func(t *testing.T) {
			// The addresses stand in the fixture. They lie outside of the ranges that the other tests use.
			s1 := startServerAt(t, "s1", "127.201.7.1:21871", say(200, "one"))
			draining := startServerAt(t, "s2", "127.201.7.2:21872", say(200, "two"))
			s3 := startServerAt(t, "s3", "127.201.7.3:21873", say(200, "three"))
			retired := startServerAt(t, "retired", "127.201.7.4:21874", say(200, "retired"))
			folder := copyFolder(t, savedStateFixture)
			list, edge := filepath.Join(t.TempDir(), "servers.csv"), filepath.Join(t.TempDir(), "edge.toml")
			writeFile(t, edge, "[inventory]\nsave_every = \"20ms\"\nstate_dir = \""+folder+"\"\npoll = \"20ms\"\n[[inventory.file]]\npath = \""+list+
				"\"\nname = \"tools\"\ntrailer = true\n")

			p := startNode(t, setup{discovery: discoveryAddress(t), env: []string{"TACKHUB_EDGE=" + edge}})
			p.waits(`"code":"inventory_stale"`, 1)
			if p.says(`"code":"state_skipped"`) > 0 {
				t.Error("a generation of the version before was passed over")
			}
			for range 60 {
				if a := p.mustAsk(request("look", 1000)); a.status != 200 {
					t.Fatalf("status %d from the saved list", a.status)
				}
			}
			if len(s1.requests()) == 0 || len(s3.requests()) == 0 {
				t.Errorf("%d and %d requests at the two servers that serve", len(s1.requests()), len(s3.requests()))
			}
			if n := len(draining.requests()); n > 0 {
				t.Errorf("%d requests at a server that was saved as draining", n)
			}
			if n := len(retired.requests()); n > 0 {
				t.Errorf("%d requests at a server that only the older generation names", n)
			}
			writeFile(t, list, "id,address,zone,pod,size,phase,tags,rack\n"+
				"s1,127.201.7.1:21871,a,p1,1,serving,ssd;big,r12\ns2,127.201.7.2:21872,a,p1,1,draining,,r12\n"+
				"s3,127.201.7.3:21873,a,p2,1,serving,ssd,r13\ns4,127.201.7.5:21875,a,p2,1,draining,,r13\n# end 4\n")
			checkSavedAgain(t, p, folder)
		})
	}
}

// checkSavedAgain checks that the node saves its next generation, which has one member more, in the same form: each other
// member with all its keys and values. The sources of the fields may differ: a field that came from discovery now comes from
// the saved state.
func checkSavedAgain(t *testing.T, p *process, folder string) {
	t.Helper()
	_, before := savedMembers(t, savedStateFixture)
	var file string
	var after []any
	eventually(t, "a save of the new member", func() bool {
		if p.counts().Inventory["saves"] > 0 {
			file, after = savedMembers(t, folder)
		}
		return len(after) == len(before)+1
	})
	if file <= "inventory.000000000002" {
		t.Errorf("the newest generation is %s after the node has saved", file)
	}
	for _, members := range [][]any{before, after} {
		for _, m := range members {
			fields, ok := m.(map[string]any)
			if !ok || fields["from"] == nil {
				t.Fatalf("a member without its sources: %v", m)
			}
			delete(fields, "from")
		}
	}
	if after = after[:len(before)]; !reflect.DeepEqual(before, after) {
		t.Errorf("saved members changed:\n%v\n%v", before, after)
	}
}
