package endpoints

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// desk is a node's surroundings: a catalog without discovery, and a module that notes what it hears.
type desk struct {
	roster *Directory
	count  *counters.Counters
	clock  clock.Clock
	heard  chan balancer.EndpointUpdate

	mu       sync.Mutex
	refetces int
}

func newDesk() *desk {
	d := &desk{count: &counters.Counters{}, clock: clock.New(), heard: make(chan balancer.EndpointUpdate, 10_000)}
	d.roster = New(d, d)
	return d
}

func (d *desk) Address(id balancer.ServerID) (string, bool) { return "discovery:" + string(id), true }
func (d *desk) Refetch()                                    { d.mu.Lock(); d.refetces++; d.mu.Unlock() }
func (d *desk) UpdateEndpoints(l balancer.EndpointUpdate)   { d.heard <- l }
func (d *desk) Endpoints() *Directory                       { return d.roster }
func (d *desk) Clock() clock.Clock                          { return d.clock }
func (d *desk) IdempotencyWindow() time.Duration            { return 50 * time.Millisecond }
func (d *desk) Counters() *counters.Counters                { return d.count }

func (d *desk) next(t testing.TB) balancer.EndpointUpdate {
	t.Helper()
	select {
	case l := <-d.heard:
		return l
	case <-time.After(10 * time.Second):
		t.Fatal("the module heard nothing")
	}
	panic("unreachable")
}

// start builds and starts the subsystem from a section's text.
func (d *desk) start(t testing.TB, text string) subsystem.Instance {
	t.Helper()
	f, err := operator.Parse("edge.toml", text, []operator.Section{Part().Section})
	if err != nil {
		t.Fatal(err)
	}
	r, err := Part().Build(subsystem.Host{Node: d, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, f.Options("inventory"), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.Start(ctx)
	t.Cleanup(func() { r.Stop(); cancel() })
	return r
}

func write(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

func ids(l balancer.EndpointUpdate) string {
	var out []string
	for _, e := range l.Endpoints {
		id := string(e.ID)
		switch e.State {
		case balancer.Draining:
			id += "~"
		case balancer.Removed:
			id += "-"
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// Off, discovery's news pass through. On, the first list waits until every source has spoken, and each change is one push;
// addresses are there before the push. Off again, discovery is asked for its list anew.
func TestPassThroughAndMerged(t *testing.T) {
	d := newDesk()
	known := discovery.List{Revision: 1, Members: []discovery.Member{{ID: "d1", HostPort: "127.0.0.1:1", Phase: "SERVING"}}}
	d.roster.HandleMembers(known, balancer.FullUpdate)
	if l := d.next(t); ids(l) != "d1" || l.Kind != balancer.FullUpdate {
		t.Errorf("passed through: %+v", l)
	}
	path := filepath.Join(t.TempDir(), "list.csv")
	r := d.start(t, "[inventory]\npoll=\"10ms\"\nsettle=\"0s\"\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	if a, _ := d.roster.Address("d1"); a != "discovery:d1" {
		t.Errorf("address %s before the first merged list", a)
	}
	d.roster.HandleMembers(known, balancer.FullUpdate)
	write(t, path, inventory.WriteCSV([]inventory.Server{{ID: "f1", Address: "127.0.0.1:2", Pod: "p"}}))
	if l := d.next(t); ids(l) != "d1 f1" || l.Kind != balancer.FullUpdate {
		t.Fatalf("first merged list: %+v", l)
	}
	if a, _ := d.roster.Address("f1"); a != "127.0.0.1:2" {
		t.Errorf("address %s", a)
	}
	d.roster.HandleMembers(discovery.List{Revision: 2, Members: []discovery.Member{{ID: "d1", Phase: "DELETED"}, {ID: "d2", HostPort: "127.0.0.1:3", Phase: "odd"}}}, balancer.DeltaUpdate)
	if l := d.next(t); ids(l) != "d1- d2~" || l.Kind != balancer.DeltaUpdate {
		t.Errorf("one push for one change: %+v", l)
	}
	if _, ok := d.roster.Address("d1"); ok {
		t.Error("a server that is gone has an address")
	}
	d.roster.HandleMembers(discovery.List{Revision: 3}, balancer.DeltaUpdate)
	if l := d.next(t); len(l.Endpoints) != 0 {
		t.Errorf("an answer without news: %+v", l)
	}
	r.Stop()
	d.roster.HandleMembers(known, balancer.FullUpdate)
	if l := d.next(t); ids(l) != "d1" {
		t.Errorf("after it is off: %+v", l)
	}
	if d.refetces != 2 {
		t.Errorf("discovery was asked anew %d times, want at on and off", d.refetces)
	}
}

// A source that never speaks does not hold up the others for ever, and a start without a state folder's right fails.
func TestSilentSourceAndBadFolder(t *testing.T) {
	d := newDesk()
	d.start(t, "[inventory]\n[[inventory.file]]\npath=\"/nowhere/list.csv\"\n[[inventory.static]]\nid=\"s\"\naddress=\"127.0.0.1:9\"\n")
	began := time.Now()
	if l := d.next(t); ids(l) != "s" || time.Since(began) < firstWait/2 {
		t.Errorf("%+v after %v", l, time.Since(began))
	}
	f, err := operator.Parse("edge.toml", "[inventory]\nstate_dir=\"/proc/none\"\n", []operator.Section{Part().Section})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Part().Build(subsystem.Host{Node: d}, f.Options("inventory"), nil); err == nil {
		t.Error("a folder that cannot be made was taken")
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"[inventory]\ndiscovery = false\n":                                       "no source",
		"[inventory]\nremove_share = 2.0\n":                                      "inventory.remove_share",
		"[inventory]\nmove_share = 0.0\n":                                        "inventory.move_share",
		"[inventory]\nrequire = [\"x\"]\n":                                       "inventory.require",
		"[inventory]\n[inventory.order]\ncolour = [\"discovery\"]\n":             "inventory.order.colour",
		"[inventory]\n[[inventory.file]]\npath = \"a.txt\"\n":                    "ending",
		"[inventory]\n[[inventory.file]]\npath = \"a.csv\"\nname = \"static\"\n": "another source",
		"[inventory]\n[[inventory.static]]\nid = \"a\"\naddress = \"host:1\"\n":  "inventory.static[0].address",
		"[inventory]\npoll = \"1ms\"\n":                                          "inventory.poll",
		"[inventory]\nstate_dirs = \"x\"\n":                                      "no such key",
	} {
		if _, err := operator.Parse("edge.toml", text, []operator.Section{Part().Section}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// BenchmarkRenameToModule is the time from a rename to the module's event, for a list of a size.
func BenchmarkRenameToModule(b *testing.B) {
	for _, n := range []int{500, 10_000} {
		for _, form := range []string{"csv", "yaml"} {
			b.Run(fmt.Sprintf("%d-%s", n, form), func(b *testing.B) { renames(b, n, form) })
		}
	}
}

func renames(b *testing.B, n int, form string) {
	servers := make([]inventory.Server, n)
	for i := range servers {
		servers[i] = inventory.Server{ID: fmt.Sprintf("s%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Pod: fmt.Sprint(i / 4), Size: 1}
	}
	d, path := newDesk(), filepath.Join(b.TempDir(), "list."+form)
	put := func() {
		data := inventory.WriteCSV(servers)
		if form == "yaml" {
			data = inventory.WriteYAML(servers)
		}
		write(b, path, data)
	}
	put()
	d.start(b, "[inventory]\ndiscovery = false\n[[inventory.file]]\npath=\""+path+"\"\ntrailer=true\n")
	d.next(b)
	var took []float64
	for b.Loop() {
		servers[len(took)%n].Size += 0.5
		put()
		began := time.Now()
		d.next(b)
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	sort.Float64s(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
}
