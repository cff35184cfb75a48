package endpoints

import (
	"fmt"
	"path/filepath"
	"sort"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Off, discovery's list passes through. On, the first list waits until every source has reported, each change is one update,
// and addresses are known before the update. Off again, discovery's list is requested anew.
func TestPassThroughAndMerged(t *testing.T) {
	node := newFakeNode()
	known := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	node.directory.HandleMembers(known, balancer.FullUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1" || l.Kind != balancer.FullUpdate {
		t.Errorf("passed through: %+v", l)
	}
	path := filepath.Join(t.TempDir(), "list.csv")
	r := node.start(t, "[inventory]\npoll=\"10ms\"\nsettle=\"0s\"\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	if a, _ := node.directory.Address("d1"); a != "discovery:d1" {
		t.Errorf("address %s before the first merged list", a)
	}
	node.directory.HandleMembers(known, balancer.FullUpdate)
	writeFile(t, path, inventory.WriteCSV([]inventory.Server{{ID: "f1", Address: "127.0.0.1:2", Pod: "p"}}))
	if l := node.nextUpdate(t); describe(l) != "d1 f1" || l.Kind != balancer.FullUpdate {
		t.Fatalf("first merged list: %+v", l)
	}
	if a, _ := node.directory.Address("f1"); a != "127.0.0.1:2" {
		t.Errorf("address %s", a)
	}
	node.directory.HandleMembers(discovery.List{Revision: 2, Members: []discovery.Member{{ID: "d1", Phase: "DELETED"}, {ID: "d2", HostPort: "127.0.0.1:3", Phase: "odd"}}}, balancer.DeltaUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1- d2~" || l.Kind != balancer.DeltaUpdate {
		t.Errorf("one update for one change: %+v", l)
	}
	if _, ok := node.directory.Address("d1"); ok {
		t.Error("a removed server has an address")
	}
	node.directory.HandleMembers(discovery.List{Revision: 3}, balancer.DeltaUpdate)
	if l := node.nextUpdate(t); len(l.Endpoints) != 0 {
		t.Errorf("an answer without changes: %+v", l)
	}
	r.Stop()
	node.directory.HandleMembers(known, balancer.FullUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1" {
		t.Errorf("after it is off: %+v", l)
	}
	if node.refetches != 2 {
		t.Errorf("discovery's list was requested %d times, want at on and off", node.refetches)
	}
}

// A balancer that lost discovery requests the complete list and waits for an answer. Where that list changes nothing it must hear of it
// all the same, or it goes on asking; and the servers of the first list count as published.
func TestCompleteListWithoutChangesIsAnAnswer(t *testing.T) {
	node := newFakeNode()
	node.start(t, "[inventory]\n[[inventory.static]]\nid=\"s\"\naddress=\"127.0.0.1:9\"\n")
	list := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	node.directory.HandleMembers(list, balancer.FullUpdate)
	if u := node.nextUpdate(t); describe(u) != "d1 s" || u.Kind != balancer.FullUpdate {
		t.Fatalf("first list: %+v", u)
	}
	eventuallyEqual(t, "servers published", node.count.Inventory.Entries.Get, 2)
	node.directory.HandleMembers(list, balancer.FullUpdate)
	if u := node.nextUpdate(t); len(u.Endpoints) != 0 || u.Kind != balancer.DeltaUpdate {
		t.Errorf("a complete list without changes: %+v", u)
	}
	if _, ok := node.directory.Address("d1"); !ok {
		t.Error("the list was lost")
	}
}

// eventuallyEqual waits for a counter to have a value.
func eventuallyEqual(t *testing.T, what string, get func() int64, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); get() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %d, want %d", what, get(), want)
		}
	}
}

// A source that never reports does not hold up the others for ever, and a state folder that cannot be made is an error.
func TestSilentSourceAndBadFolder(t *testing.T) {
	node := newFakeNode()
	node.start(t, "[inventory]\n[[inventory.file]]\npath=\"/nowhere/list.csv\"\n[[inventory.static]]\nid=\"s\"\naddress=\"127.0.0.1:9\"\n")
	began := time.Now()
	if l := node.nextUpdate(t); describe(l) != "s" || time.Since(began) < firstListTimeout/2 {
		t.Errorf("%+v after %v", l, time.Since(began))
	}
	f, err := operator.Parse("edge.toml", "[inventory]\nstate_dir=\"/proc/none\"\n", []operator.Section{Subsystem().Section})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Subsystem().Build(subsystem.Host{Node: node}, f.Options("inventory"), nil); err == nil {
		t.Error("a folder that cannot be made is no error")
	}
}

// BenchmarkRenameToUpdate is the time from a file's rename to the balancer's update, for a list of a size.
func BenchmarkRenameToUpdate(b *testing.B) {
	for _, n := range []int{500, 10_000} {
		for _, form := range []string{"csv", "yaml"} {
			b.Run(fmt.Sprintf("%d-%s", n, form), func(b *testing.B) { benchmarkRename(b, n, form) })
		}
	}
}

func benchmarkRename(b *testing.B, n int, form string) {
	servers := make([]inventory.Server, n)
	for i := range servers {
		servers[i] = inventory.Server{ID: fmt.Sprintf("s%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Pod: fmt.Sprint(i / 4), Size: 1}
	}
	node, path := newFakeNode(), filepath.Join(b.TempDir(), "list."+form)
	put := func() {
		data := inventory.WriteCSV(servers)
		if form == "yaml" {
			data = inventory.WriteYAML(servers)
		}
		writeFile(b, path, data)
	}
	put()
	node.start(b, "[inventory]\ndiscovery = false\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	node.nextUpdate(b)
	var took []float64
	for b.Loop() {
		servers[len(took)%n].Size += 0.5
		put()
		began := time.Now()
		node.nextUpdate(b)
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	sort.Float64s(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
}
