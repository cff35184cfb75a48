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

// With the inventory off, discovery's list is forwarded. With it on, the first list waits until every source has reported, each
// change is one update, and addresses are set before the update. When it is turned on or off, discovery's list is requested again.
func TestSwitchBetweenDiscoveryAndMergedList(t *testing.T) {
	node := newFakeNode()
	discoveryList := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	node.directory.HandleMembers(discoveryList, balancer.FullUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1" || l.Kind != balancer.FullUpdate {
		t.Errorf("inventory off: update = %+v, want the full list d1", l)
	}
	path := filepath.Join(t.TempDir(), "list.csv")
	instance := node.start(t, "[inventory]\npoll=\"10ms\"\nsettle=\"0s\"\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	if a, _ := node.directory.Address("d1"); a != "discovery:d1" {
		t.Errorf("address before the first merged list = %s, want discovery:d1", a)
	}
	node.directory.HandleMembers(discoveryList, balancer.FullUpdate)
	writeFile(t, path, inventory.WriteCSV([]inventory.Server{{ID: "f1", Address: "127.0.0.1:2", Pod: "p"}}))
	if l := node.nextUpdate(t); describe(l) != "d1 f1" || l.Kind != balancer.FullUpdate {
		t.Fatalf("first merged list = %+v, want the full list d1 f1", l)
	}
	if a, _ := node.directory.Address("f1"); a != "127.0.0.1:2" {
		t.Errorf("address of f1 = %s, want 127.0.0.1:2", a)
	}
	node.directory.HandleMembers(discovery.List{Revision: 2, Members: []discovery.Member{{ID: "d1", Phase: "DELETED"}, {ID: "d2", HostPort: "127.0.0.1:3", Phase: "odd"}}}, balancer.DeltaUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1- d2~" || l.Kind != balancer.DeltaUpdate {
		t.Errorf("update = %+v, want one delta d1- d2~", l)
	}
	if _, ok := node.directory.Address("d1"); ok {
		t.Error("the removed server d1 still has an address")
	}
	node.directory.HandleMembers(discovery.List{Revision: 3}, balancer.DeltaUpdate)
	if l := node.nextUpdate(t); len(l.Endpoints) != 0 {
		t.Errorf("update for an answer without changes = %+v, want no endpoints", l)
	}
	instance.Stop()
	node.directory.HandleMembers(discoveryList, balancer.FullUpdate)
	if l := node.nextUpdate(t); describe(l) != "d1" {
		t.Errorf("inventory off again: update = %+v, want d1", l)
	}
	if node.refetches != 2 {
		t.Errorf("refetches = %d, want 2 (one when turned on, one when turned off)", node.refetches)
	}
}

// A balancer that has lost its connection to discovery requests the complete list and waits for an answer. If an answer without
// changes is not forwarded, the balancer repeats the request. The servers of the first list are counted as published.
func TestPublishUnchangedCompleteListAsAnswer(t *testing.T) {
	node := newFakeNode()
	node.start(t, "[inventory]\n[[inventory.static]]\nid=\"s\"\naddress=\"127.0.0.1:9\"\n")
	list := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	node.directory.HandleMembers(list, balancer.FullUpdate)
	if u := node.nextUpdate(t); describe(u) != "d1 s" || u.Kind != balancer.FullUpdate {
		t.Fatalf("first list = %+v, want the full list d1 s", u)
	}
	eventuallyEqual(t, "servers published", node.count.Inventory.Entries.Get, 2)
	node.directory.HandleMembers(list, balancer.FullUpdate)
	if u := node.nextUpdate(t); len(u.Endpoints) != 0 || u.Kind != balancer.DeltaUpdate {
		t.Errorf("update for a complete list without changes = %+v, want an empty delta", u)
	}
	if _, ok := node.directory.Address("d1"); !ok {
		t.Error("d1 has no address after a complete list without changes")
	}
}

// eventuallyEqual waits up to 10 s for a counter to reach a value.
func eventuallyEqual(t *testing.T, what string, get func() int64, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); get() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s = %d, want %d", what, get(), want)
		}
	}
}

// A source that never reports delays the first list only for firstListTimeout. A state folder that cannot be created is an
// error.
func TestFirstListTimeoutAndUnusableStateDir(t *testing.T) {
	node := newFakeNode()
	node.start(t, "[inventory]\n[[inventory.file]]\npath=\"/nowhere/list.csv\"\n[[inventory.static]]\nid=\"s\"\naddress=\"127.0.0.1:9\"\n")
	began := time.Now()
	if l := node.nextUpdate(t); describe(l) != "s" || time.Since(began) < firstListTimeout/2 {
		t.Errorf("first update = %+v after %v, want s after at least %v", l, time.Since(began), firstListTimeout/2)
	}
	f, err := operator.Parse("edge.toml", "[inventory]\nstate_dir=\"/proc/none\"\n", []operator.Section{Subsystem().Section})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Subsystem().Build(subsystem.Host{Node: node}, f.Options("inventory"), nil); err == nil {
		t.Error("Build with a state folder that cannot be created succeeded, want an error")
	}
}

// BenchmarkRenameToUpdate measures the time from the rename of a list file to the update for the balancer, by list size and format.
func BenchmarkRenameToUpdate(b *testing.B) {
	for _, n := range []int{500, 10_000} {
		for _, format := range []string{"csv", "yaml"} {
			b.Run(fmt.Sprintf("%d-%s", n, format), func(b *testing.B) { benchmarkRename(b, n, format) })
		}
	}
}

func benchmarkRename(b *testing.B, n int, format string) {
	servers := make([]inventory.Server, n)
	for i := range servers {
		servers[i] = inventory.Server{ID: fmt.Sprintf("s%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Pod: fmt.Sprint(i / 4), Size: 1}
	}
	node, path := newFakeNode(), filepath.Join(b.TempDir(), "list."+format)
	writeList := func() {
		data := inventory.WriteCSV(servers)
		if format == "yaml" {
			data = inventory.WriteYAML(servers)
		}
		writeFile(b, path, data)
	}
	writeList()
	node.start(b, "[inventory]\ndiscovery = false\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	node.nextUpdate(b)
	var latenciesMs []float64
	for b.Loop() {
		servers[len(latenciesMs)%n].Size += 0.5
		writeList()
		began := time.Now()
		node.nextUpdate(b)
		latenciesMs = append(latenciesMs, float64(time.Since(began).Microseconds())/1000)
	}
	sort.Float64s(latenciesMs)
	b.ReportMetric(latenciesMs[len(latenciesMs)/2], "p50-ms")
	b.ReportMetric(latenciesMs[len(latenciesMs)*99/100], "p99-ms")
}

// Discovery's first complete list names nobody while the balancer has an older list. If the merged list is published only once it
// has members, the balancer goes on choosing the withdrawn servers.
func TestEmptyFirstListIsPublished(t *testing.T) {
	for name, sources := range map[string]string{"discovery alone": "", "file missing": "[[inventory.file]]\npath=\"/nowhere/list.csv\"\n"} {
		t.Run(name, func(t *testing.T) {
			node := newFakeNode()
			node.start(t, "[inventory]\n"+sources)
			node.directory.HandleMembers(discovery.List{Revision: 7}, balancer.FullUpdate)
			if u := node.nextUpdate(t); len(u.Endpoints) != 0 || u.Kind != balancer.FullUpdate {
				t.Errorf("first update = %+v, want a full list without endpoints", u)
			}
			if _, ok := node.directory.Address("d1"); ok {
				t.Error("a server that no list names has an address")
			}
		})
	}
}

// The list that the process starts with comes from discovery. If its servers stay in service until every source has reported, those
// that discovery's complete list no longer names get requests while a file is missing.
func TestCompleteListWithdrawsCachedServers(t *testing.T) {
	node := newFakeNode()
	node.start(t, "[inventory]\n[[inventory.file]]\npath=\"/nowhere/list.csv\"\n")
	cached := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	node.directory.HandleMembers(cached, balancer.CachedUpdate)
	if u := node.nextUpdate(t); describe(u) != "d1" {
		t.Fatalf("first update = %+v, want d1", u)
	}
	node.directory.HandleMembers(discovery.List{Revision: 2}, balancer.FullUpdate)
	if u := node.nextUpdate(t); describe(u) != "d1-" {
		t.Errorf("update after discovery's empty list = %+v, want the removal of d1", u)
	}
}
