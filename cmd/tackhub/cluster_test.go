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

// testCluster is a cluster of several nodes. Each direction between two nodes has a separate link, on which a test can inject
// faults.
type testCluster struct {
	t     *testing.T
	dir   string
	links *netfault.Mesh
	nodes []*nodeProcess
	start func(i int) *nodeProcess
	setup func(i int) nodeOptions

	listenAddresses []string
	discovery       string
}

// startTestCluster starts n members named m0, m1 and so on, and a discovery server that lists the given servers. A member's
// seeds are the first two other members.
func startTestCluster(t *testing.T, n int, servers ...*backend) *testCluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "th") // short, because the path of a Unix socket is limited to 108 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	var listenAddresses []string
	for range n {
		listenAddresses = append(listenAddresses, freeAddress(t))
	}
	links, err := netfault.NewMesh(listenAddresses, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(links.Close)
	d := startDiscoveryServer(t, members(servers...))
	tc := &testCluster{t: t, dir: dir, links: links, listenAddresses: listenAddresses, discovery: d.addr}
	tc.setup = func(i int) nodeOptions {
		edge := filepath.Join(dir, fmt.Sprintf("m%d.toml", i))
		text := fmt.Sprintf("[cluster]\nname = \"m%d\"\nlisten = %q\n", i, listenAddresses[i])
		seeds, addresses := []string{}, []string{}
		for j := range n {
			if i == j {
				continue
			}
			if len(seeds) < 2 {
				seeds = append(seeds, fmt.Sprintf("%q", links.Address(i, j)))
			}
			addresses = append(addresses, fmt.Sprintf("m%d = %q", j, links.Address(i, j)))
		}
		text += "seeds = [" + strings.Join(seeds, ", ") + "]\naddresses = { " + strings.Join(addresses, ", ") + " }\n"
		writeFile(t, edge, text)
		return nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge, "TMPDIR=" + dir}}
	}
	tc.start = func(i int) *nodeProcess { return startNode(t, tc.setup(i)) }
	for i := range n {
		tc.nodes = append(tc.nodes, tc.start(i))
	}
	return tc
}

// status returns the status that a member reports, or the zero value if it does not answer.
func (tc *testCluster) status(i int) cluster.Status {
	s, _, err := cluster.QueryStatus(cluster.SocketPath(tc.dir, fmt.Sprintf("m%d", i)))
	if err != nil {
		return cluster.Status{}
	}
	return s
}

// waitViews waits until the views of the members with the given indexes contain exactly the members in want.
func (tc *testCluster) waitViews(what string, indexes []int, want ...string) {
	tc.t.Helper()
	eventually(tc.t, what, func() bool {
		return !slices.ContainsFunc(indexes, func(i int) bool { return !slices.Equal(tc.status(i).View.Members, want) })
	})
}

// Messages from m1 to m0 are lost, those in the other direction arrive. Both members must detect it: m0 removes m1 from its
// view, and m1 reports that its messages do not arrive. After the partition both have one view again.
func TestBothMembersDetectOneWayPartition(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2)
	both := []int{0, 1}
	tc.waitViews("both members in both views", both, "m0", "m1")
	before := tc.status(0).View.Number
	setLinkCut(tc.links, 1, 0, true)
	tc.waitViews("m0 to remove m1", []int{0}, "m0")
	eventually(t, "m0 to report m1 as unreachable, with its reporter", func() bool {
		m := tc.status(0).Members
		return len(m) == 1 && m[0].State == swim.Unreachable && m[0].SuspectedBy["m0"] > 0
	})
	eventually(t, "both to report lost connectivity", func() bool {
		return tc.status(0).Connectivity == swim.InboundLost && tc.status(1).Connectivity == swim.OutboundLost
	})
	if !strings.Contains(tc.nodes[1].log.String(), `"is":"not heard"`) {
		t.Error("m1 has not logged that its messages do not arrive")
	}
	setLinkCut(tc.links, 1, 0, false)
	tc.waitViews("one view again", both, "m0", "m1")
	eventually(t, "both to report that they are connected", func() bool {
		return tc.status(0).Connectivity == swim.Connected && tc.status(1).Connectivity == swim.Connected
	})
	if after := tc.status(0).View.Number; after <= before {
		t.Errorf("view number after the partition = %d, want more than %d", after, before)
	}
	out, code := runTackhub(t, []string{"TMPDIR=" + tc.dir}, "members", "--name", "m0")
	if code != 0 || !strings.Contains(out, "m1 ") || !strings.Contains(out, "2 members: m0 m1") {
		t.Errorf("tackhub members: exit code %d, want 0 and both members:\n%s", code, out)
	}
	tc.nodes[1].terminate()
	if code := tc.nodes[1].exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	eventually(t, "the leave message", func() bool {
		m := tc.status(0).Members
		return len(m) == 1 && m[0].State == swim.Left
	})
}

// A member is upgraded: the successor process waits until the predecessor releases the member's address. The member must stay
// in the views of the others all the time.
func TestUpgradeKeepsMembership(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2)
	tc.waitViews("both members in both views", []int{0, 1}, "m0", "m1")
	before, result, stop := tc.status(0).Generation, make(chan bool), make(chan struct{})
	go func() { // checks the view of m1 until the upgrade is over
		missing := false
		for {
			select {
			case <-stop:
				result <- missing
				return
			default:
				v := tc.status(1).View.Members
				missing = missing || len(v) == 1
			}
		}
	}()
	successor := launch(t, tc.nodes[0].addr, tc.setup(0))
	eventually(t, "the successor to wait for the address", func() bool { return strings.Contains(successor.log.String(), "cluster_waits") })
	eventually(t, "the handover to the successor", func() bool { return strings.Contains(successor.log.String(), `"code":"handover"`) })
	tc.nodes[0].terminate()
	if code := tc.nodes[0].exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	eventually(t, "m1 to see the successor's generation", func() bool {
		m := tc.status(1).Members
		return len(m) == 1 && m[0].Generation > before && m[0].State == swim.Alive
	})
	close(stop)
	if <-result {
		t.Error("m1's view did not contain m0 during the upgrade")
	}
	tc.waitViews("both members in both views after the upgrade", []int{0, 1}, "m0", "m1")
}

// Two processes are started with the same member name. With the same address the second must fail to start and print the
// reason. With another address, as on another machine, the later one replaces the earlier one, which must report that it is
// superseded.
func TestDuplicateMemberNameIsDetected(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2)
	tc.waitViews("both members in both views", []int{0, 1}, "m0", "m1")
	options := tc.setup(0)
	options.discovery = tc.discovery
	out, code := runTackhub(t, append(environment(t, freeAddress(t), options), options.env...))
	if code != 1 || !strings.Contains(out, "address already in use") || !strings.Contains(out, "[cluster]") {
		t.Errorf("second process at the same address: exit code %d, want 1 and the reason: %s", code, out)
	}
	dir, err := os.MkdirTemp("", "th")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	edge := filepath.Join(dir, "edge.toml")
	writeFile(t, edge, fmt.Sprintf("[cluster]\nname = \"m0\"\nlisten = %q\nseeds = [%q]\n", freeAddress(t), tc.links.Address(0, 1)))
	second := startNode(t, nodeOptions{discovery: tc.discovery, env: []string{"TACKHUB_EDGE=" + edge, "TMPDIR=" + dir}})
	eventually(t, "the first to log that it is outdated", func() bool { return strings.Contains(tc.nodes[0].log.String(), "cluster_outdated") })
	eventually(t, "the first to report that it is superseded", func() bool { return tc.status(0).Connectivity == swim.Superseded })
	eventually(t, "m1 to see the second process as m0", func() bool {
		m := tc.status(1).Members
		return len(m) == 1 && m[0].PreviousGeneration > 0 && m[0].State == swim.Alive
	})
	if strings.Contains(second.log.String(), "cluster_outdated") {
		t.Error("the second process logged that it is outdated, want only the first to do so")
	}
}

// A member receives messages of newer protocol versions and of another cluster. It must ignore unknown fields of a compatible
// version, and drop and count messages that are incompatible, malformed or of another cluster.
func TestIncompatibleClusterMessagesAreDropped(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 1)
	conn, err := net.Dial("udp", tc.listenAddresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	send := func(m swim.Message, extra ...byte) {
		raw, err := m.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(extra) > 0 {
			raw[0]++ // increments the key count of the msgpack map
		}
		_, _ = conn.Write(append(raw, extra...))
	}
	hash := uint32(xxhash.Sum64String("tackhub"))
	newer := swim.Message{Kind: swim.Ping, Version: 9, ClusterHash: hash, From: "x9", Generation: 1, Address: conn.LocalAddr().String(), Seq: 7}
	send(newer, 0xa2, 'z', 'z', 0x92, 1, 2) // "zz": [1, 2]
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
		t.Errorf("reply = %+v, want sequence number 7 and version %d", reply, swim.WireVersion)
	}
	newer.MinVersion, newer.From = 9, "x8" // the sender requires at least version 9
	send(newer)
	send(swim.Message{Kind: swim.Ping, Version: 1, ClusterHash: hash + 1, From: "x7", Generation: 1, Address: "127.0.0.1:9"})
	_, _ = conn.Write([]byte("no message"))
	eventually(t, "one drop of each kind to be counted", func() bool {
		drops := tc.nodes[0].counts().Cluster.Drops
		return drops["version"] == 1 && drops["other_cluster"] == 1 && drops["malformed"] == 1
	})
	if m := tc.status(0).Members; len(m) != 1 || m[0].Name != "x9" {
		t.Errorf("members = %+v, want only x9", m)
	}
}

// All seeds are down when a member starts. It must serve without peers, and join when a seed is up.
func TestMemberStartsAloneIfAllSeedsAreDown(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2)
	tc.waitViews("both members in both views", []int{0, 1}, "m0", "m1")
	for _, n := range tc.nodes {
		n.terminate()
		n.exit()
	}
	tc.nodes[0] = tc.start(0)
	eventually(t, "m0 to run without peers", func() bool { s := tc.status(0); return s.State == swim.Alive && s.Connectivity == swim.NoPeers })
	tc.nodes[1] = tc.start(1)
	tc.waitViews("both members in both views again", []int{0, 1}, "m0", "m1")
}

// The [cluster] section of the configuration is invalid in several keys. The check must report each with its line and key.
func TestInvalidClusterOptionsAreReported(t *testing.T) {
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[cluster]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"here\"]\nperiod = \"1s\"\ntimeout = \"2s\"\nsuspicion = \"3s\"\nlease = \"1s\"\n"+
		"accept = [\"10/8\"]\nname = \"a b\"\nshares = { n0 = \"x\" }\n")
	out, code := runTackhub(t, environment(t, "127.0.0.1:8081", nodeOptions{discovery: "127.0.0.1:8500"}), "check", "--edge", edge)
	for _, want := range []string{"cluster.advertise", ":3: cluster.seeds", ":5: cluster.timeout", ":6: cluster.suspicion", ":7: cluster.lease",
		":8: cluster.accept", ":9: cluster.name", "cluster.shares"} {
		if code != 1 || !strings.Contains(out, want) {
			t.Errorf("exit code %d, want 1 and %q in\n%s", code, want, out)
		}
	}
}

// A reload disables the cluster and another one enables it again. The member must leave and then rejoin. A reload that changes
// keys of the enabled cluster must be rejected.
func TestReloadDisablesAndEnablesCluster(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2)
	tc.waitViews("both members in both views", []int{0, 1}, "m0", "m1")
	edge := filepath.Join(tc.dir, "m0.toml")
	enabled, err := os.ReadFile(edge)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, edge, string(enabled)+"period = \"300ms\"\n")
	tc.nodes[0].reload("edge_failed")
	writeFile(t, edge, "")
	tc.nodes[0].reload("edge")
	eventually(t, "the leave message", func() bool {
		m := tc.status(1).Members
		return len(m) == 1 && m[0].State == swim.Left
	})
	writeFile(t, edge, string(enabled))
	tc.nodes[0].reload("edge")
	tc.waitViews("m0 to be back in both views", []int{0, 1}, "m0", "m1")
}

// enableQuotas disables the cluster of one member by a reload, and enables it again with a quota that is
// divided between both members.
func (tc *testCluster) enableQuotas(i int) {
	tc.t.Helper()
	edge := filepath.Join(tc.dir, fmt.Sprintf("m%d.toml", i))
	text, err := os.ReadFile(edge)
	if err != nil {
		tc.t.Fatal(err)
	}
	writeFile(tc.t, edge, "")
	tc.nodes[i].reload("edge")
	writeFile(tc.t, edge, fmt.Sprintf("%sshares = { m0 = %q, m1 = %q }\n", text, tc.listenAddresses[0], tc.listenAddresses[1]))
	tc.nodes[i].reload("edge")
}

// Quotas are enabled on two members under load, one after the other. The first opens a liveness stream to the second, which has
// no quota yet and drops it. No process may exit because of that, and no request may be lost.
func TestQuotaRolloutLosesNoRequest(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 2, startBackend(t, "s1", respond(200, "done")))
	tc.waitViews("both members in both views", []int{0, 1}, "m0", "m1")
	stop := make(chan struct{})
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	for _, node := range tc.nodes {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if resp, err := node.do(request("look", 1400)); err != nil || resp.status != 200 {
					t.Logf("lost request: %+v, %v", resp, err)
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
	tc.enableQuotas(0)
	eventually(t, "m1 to have dropped a liveness stream", func() bool {
		c, err := tc.nodes[1].dial()
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		got, ok := tc.nodes[1].countsOn(c)
		return ok && got.Cluster.Drops["lifeline"] > 0
	})
	tc.enableQuotas(1)
	eventually(t, "each member to have half of the quota", func() bool {
		half := func(i int) bool { q := tc.status(i).Quota; return q != nil && q.Fraction == 0.5 }
		return half(0) && half(1)
	})
	stopClients()
	if n := lost.Load(); n > 0 || answered.Load() == 0 {
		t.Errorf("%d of %d requests lost, want 0 and at least one answered", n, answered.Load())
	}
}

// setLinkCut blocks or unblocks the link from one node to another.
func setLinkCut(links *netfault.Mesh, from, to int, blocked bool) {
	links.SetFaults(from, to, func(f *netfault.PacketFaults) { f.Cut = blocked })
}
