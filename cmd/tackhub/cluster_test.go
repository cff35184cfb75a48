package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/cluster"
	swim "tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/lab/netfault"
)

// testCluster is several nodes that are a cluster, with a link of its own for each directed pair.
type testCluster struct {
	t     *testing.T
	dir   string
	links *netfault.Mesh
	nodes []*nodeProcess
	start func(i int) *nodeProcess
	setup func(i int) nodeOptions

	listens   []string
	discovery string
}

// startTestCluster starts n members named m0, m1 and so on; the first two are the seeds. Discovery lists the servers.
func startTestCluster(t *testing.T, n int, servers ...*backend) *testCluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "th") // short: local sockets' paths are bounded
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	var listens []string
	for range n {
		listens = append(listens, freeAddress(t))
	}
	links, err := netfault.NewMesh(listens, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(links.Close)
	d := startDiscoveryServer(t, members(servers...))
	b := &testCluster{t: t, dir: dir, links: links, listens: listens, discovery: d.addr}
	b.setup = func(i int) nodeOptions {
		edge := filepath.Join(dir, fmt.Sprintf("m%d.toml", i))
		text := fmt.Sprintf("[cluster]\nname = \"m%d\"\nlisten = %q\n", i, listens[i])
		seeds, book := []string{}, []string{}
		for j := range n {
			if i == j {
				continue
			}
			if len(seeds) < 2 {
				seeds = append(seeds, fmt.Sprintf("%q", links.Address(i, j)))
			}
			book = append(book, fmt.Sprintf("m%d = %q", j, links.Address(i, j)))
		}
		text += "seeds = [" + strings.Join(seeds, ", ") + "]\naddresses = { " + strings.Join(book, ", ") + " }\n"
		writeFile(t, edge, text)
		return nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge, "TMPDIR=" + dir}}
	}
	b.start = func(i int) *nodeProcess { return startNode(t, b.setup(i)) }
	for i := range n {
		b.nodes = append(b.nodes, b.start(i))
	}
	return b
}

// status is what a member reports; the zero value where it does not answer.
func (b *testCluster) status(i int) cluster.Status {
	s, _, err := cluster.QueryStatus(cluster.SocketPath(b.dir, fmt.Sprintf("m%d", i)))
	if err != nil {
		return cluster.Status{}
	}
	return s
}

// waitViews waits until each of some members has exactly the wanted ones in its view.
func (b *testCluster) waitViews(what string, of []int, want ...string) {
	b.t.Helper()
	eventually(b.t, what, func() bool {
		return !slices.ContainsFunc(of, func(i int) bool { return !slices.Equal(b.status(i).View.Members, want) })
	})
}

// One of two members cannot be heard by the other, but hears it. Both must notice: the first removes the silent one,
// and that one must learn that it is not heard. After the partition they have one view again.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2)
	both := []int{0, 1}
	b.waitViews("both to meet", both, "m0", "m1")
	before := b.status(0).View.Number
	cut(b.links, 1, 0, true)
	b.waitViews("m0 to lose m1", []int{0}, "m0")
	eventually(t, "the verdict with its evidence", func() bool {
		m := b.status(0).Members
		return len(m) == 1 && m[0].State == swim.Unreachable && m[0].SuspectedBy["m0"] > 0
	})
	eventually(t, "both to hold themselves for cut off", func() bool {
		return b.status(0).Connectivity == swim.InboundLost && b.status(1).Connectivity == swim.OutboundLost
	})
	if !strings.Contains(b.nodes[1].log.String(), `"is":"not heard"`) {
		t.Error("m1 does not say in its log that it is not heard")
	}
	cut(b.links, 1, 0, false)
	b.waitViews("one view again", both, "m0", "m1")
	eventually(t, "both to be connected", func() bool {
		return b.status(0).Connectivity == swim.Connected && b.status(1).Connectivity == swim.Connected
	})
	if after := b.status(0).View.Number; after <= before {
		t.Errorf("the view's number went from %d to %d", before, after)
	}
	out, code := runTackhub(t, []string{"TMPDIR=" + b.dir}, "members", "--name", "m0")
	if code != 0 || !strings.Contains(out, "m1 ") || !strings.Contains(out, "2 members: m0 m1") {
		t.Errorf("exit code %d:\n%s", code, out)
	}
	b.nodes[1].terminate()
	if code := b.nodes[1].exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	eventually(t, "the goodbye", func() bool {
		m := b.status(0).Members
		return len(m) == 1 && m[0].State == swim.Left
	})
}

// A member is upgraded: the next process waits for the member's address. No other member's view may lack it meanwhile.
func TestUpgradeKeepsMembership(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2)
	b.waitViews("both to meet", []int{0, 1}, "m0", "m1")
	before, watching, stop := b.status(0).Generation, make(chan bool), make(chan struct{})
	go func() { // until the upgrade is over
		lost := false
		for {
			select {
			case <-stop:
				watching <- lost
				return
			default:
				v := b.status(1).View.Members
				lost = lost || len(v) == 1
			}
		}
	}()
	next := launch(t, b.nodes[0].addr, b.setup(0))
	eventually(t, "the next process to wait for the address", func() bool { return strings.Contains(next.log.String(), "cluster_waits") })
	eventually(t, "it to serve beside the old one", func() bool { return strings.Contains(next.log.String(), `"code":"handover"`) })
	b.nodes[0].terminate()
	if code := b.nodes[0].exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	eventually(t, "m1 to hear of the next process", func() bool {
		m := b.status(1).Members
		return len(m) == 1 && m[0].Generation > before && m[0].State == swim.Alive
	})
	close(stop)
	if <-watching {
		t.Error("m1's view lacked m0 during its upgrade")
	}
	b.waitViews("both still there", []int{0, 1}, "m0", "m1")
}

// Two processes have one member name. On one machine the second fails to start with a line that says why; on another
// machine the later one wins, and the earlier one reports that it is superseded.
func TestDuplicateMemberName(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2)
	b.waitViews("both to meet", []int{0, 1}, "m0", "m1")
	s := b.setup(0)
	s.discovery = b.discovery
	out, code := runTackhub(t, append(environment(t, freeAddress(t), s), s.env...))
	if code != 1 || !strings.Contains(out, "address already in use") || !strings.Contains(out, "[cluster]") {
		t.Errorf("exit code %d: %s", code, out)
	}
	dir, err := os.MkdirTemp("", "th")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	edge := filepath.Join(dir, "edge.toml")
	writeFile(t, edge, fmt.Sprintf("[cluster]\nname = \"m0\"\nlisten = %q\nseeds = [%q]\n", freeAddress(t), b.links.Address(0, 1)))
	second := startNode(t, nodeOptions{discovery: b.discovery, env: []string{"TACKHUB_EDGE=" + edge, "TMPDIR=" + dir}})
	eventually(t, "the first to say so", func() bool { return strings.Contains(b.nodes[0].log.String(), "cluster_outdated") })
	eventually(t, "it to hold itself for outdated", func() bool { return b.status(0).Connectivity == swim.Superseded })
	eventually(t, "m1 to hold the second", func() bool {
		m := b.status(1).Members
		return len(m) == 1 && m[0].PreviousGeneration > 0 && m[0].State == swim.Alive
	})
	if strings.Contains(second.log.String(), "cluster_outdated") {
		t.Error("both hold themselves for outdated")
	}
}

// Messages come from another version of the protocol and from another cluster. Unknown fields are ignored; what would
// be misunderstood or is foreign is dropped and counted.
func TestForeignVersionsAndClusters(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 1)
	conn, err := net.Dial("udp", b.listens[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	say := func(m swim.Message, more ...byte) {
		raw, err := m.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(more) > 0 {
			raw[0]++ // one more key in the map
		}
		_, _ = conn.Write(append(raw, more...))
	}
	name := uint32(xxhash.Sum64String("tackhub"))
	later := swim.Message{Kind: swim.Ping, Version: 9, ClusterHash: name, From: "x9", Generation: 1, Address: conn.LocalAddr().String(), Seq: 7}
	say(later, 0xa2, 'z', 'z', 0x92, 1, 2) // "zz": [1, 2]
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	buf, reply := make([]byte, 1500), swim.Message{}
	for reply.Kind != swim.Ack {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reply.UnmarshalMsg(buf[:n]); err != nil {
			t.Fatal(err)
		}
	}
	if reply.Seq != 7 || reply.Version != swim.WireVersion {
		t.Errorf("answered %+v", reply)
	}
	later.MinVersion, later.From = 9, "x8" // a version that this one would misunderstand
	say(later)
	say(swim.Message{Kind: swim.Ping, Version: 1, ClusterHash: name + 1, From: "x7", Generation: 1, Address: "127.0.0.1:9"})
	_, _ = conn.Write([]byte("no message"))
	eventually(t, "the drops to be counted", func() bool {
		drops := b.nodes[0].counts().Cluster.Drops
		return drops["version"] == 1 && drops["other_cluster"] == 1 && drops["malformed"] == 1
	})
	if m := b.status(0).Members; len(m) != 1 || m[0].Name != "x9" {
		t.Errorf("members %+v", m)
	}
}

// All seeds are down when a member starts. It serves alone, and joins once a seed is there.
func TestAllSeedsDownAtStart(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2)
	b.waitViews("both to meet", []int{0, 1}, "m0", "m1")
	for _, n := range b.nodes {
		n.terminate()
		n.exit()
	}
	b.nodes[0] = b.start(0)
	eventually(t, "it to go on alone", func() bool { s := b.status(0); return s.State == swim.Alive && s.Connectivity == swim.NoPeers })
	b.nodes[1] = b.start(1)
	b.waitViews("both to meet again", []int{0, 1}, "m0", "m1")
}

// The [cluster] section is invalid. Each fault is reported with file, line and key.
func TestClusterOptionsAreChecked(t *testing.T) {
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[cluster]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"here\"]\nperiod = \"1s\"\ntimeout = \"2s\"\nsuspicion = \"3s\"\nlease = \"1s\"\n"+
		"accept = [\"10/8\"]\nname = \"a b\"\nshares = { n0 = \"x\" }\n")
	out, code := runTackhub(t, environment(t, "127.0.0.1:8081", nodeOptions{discovery: "127.0.0.1:8500"}), "check", "--edge", edge)
	for _, want := range []string{"cluster.advertise", ":3: cluster.seeds", ":5: cluster.timeout", ":6: cluster.suspicion", ":7: cluster.lease",
		":8: cluster.accept", ":9: cluster.name", "cluster.shares"} {
		if code != 1 || !strings.Contains(out, want) {
			t.Errorf("exit code %d, no %q in\n%s", code, want, out)
		}
	}
}

// SIGHUP disables the cluster and enables it again. The member leaves, and then rejoins. A change of its keys while it
// runs is rejected.
func TestClusterDisabledAndEnabled(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2)
	b.waitViews("both to meet", []int{0, 1}, "m0", "m1")
	edge := filepath.Join(b.dir, "m0.toml")
	on, err := os.ReadFile(edge)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, edge, string(on)+"period = \"300ms\"\n")
	b.nodes[0].reload("edge_failed")
	writeFile(t, edge, "")
	b.nodes[0].reload("edge")
	eventually(t, "the goodbye", func() bool {
		m := b.status(1).Members
		return len(m) == 1 && m[0].State == swim.Left
	})
	writeFile(t, edge, string(on))
	b.nodes[0].reload("edge")
	b.waitViews("it to be back", []int{0, 1}, "m0", "m1")
}

// enableQuotas turns the cluster of one member off and on again by SIGHUP, from then on with a quota that both members divide.
func (b *testCluster) enableQuotas(i int) {
	b.t.Helper()
	edge := filepath.Join(b.dir, fmt.Sprintf("m%d.toml", i))
	text, err := os.ReadFile(edge)
	if err != nil {
		b.t.Fatal(err)
	}
	writeFile(b.t, edge, "")
	b.nodes[i].reload("edge")
	writeFile(b.t, edge, fmt.Sprintf("%sshares = { m0 = %q, m1 = %q }\n", text, b.listens[0], b.listens[1]))
	b.nodes[i].reload("edge")
}

// Quotas are rolled out to two members under load, one after the other. The first opens a liveness stream to the second, which has
// no quota yet: no process may end of it, and no request may be lost.
func TestQuotasRolledOutNodeByNode(t *testing.T) {
	t.Parallel()
	b := startTestCluster(t, 2, startBackend(t, "s1", respond(200, "done")))
	b.waitViews("both to meet", []int{0, 1}, "m0", "m1")
	stop := make(chan struct{})
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	for _, node := range b.nodes {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a, err := node.do(request("look", 1400)); err != nil || a.status != 200 {
					t.Logf("%+v, %v", a, err)
					lost.Add(1)
				}
				answered.Add(1)
			}
		})
	}
	stopClients := sync.OnceFunc(func() {
		close(stop)
		clients.Wait()
	})
	t.Cleanup(stopClients)
	b.enableQuotas(0)
	eventually(t, "m1 to have dropped a liveness stream", func() bool {
		c, err := b.nodes[1].dial()
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		got, ok := b.nodes[1].countsOn(c)
		return ok && got.Cluster.Drops["lifeline"] > 0
	})
	b.enableQuotas(1)
	eventually(t, "half of the quota at each", func() bool {
		half := func(i int) bool { q := b.status(i).Quota; return q != nil && q.Fraction == 0.5 }
		return half(0) && half(1)
	})
	stopClients()
	if n := lost.Load(); n > 0 || answered.Load() == 0 {
		t.Errorf("%d of %d requests lost", n, answered.Load())
	}
}

// cut begins or ends a cut of the link from one node to another.
func cut(links *netfault.Mesh, from, to int, on bool) {
	links.SetFaults(from, to, func(f *netfault.PacketFaults) { f.Cut = on })
}
