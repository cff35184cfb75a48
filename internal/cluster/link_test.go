package cluster

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// fakeNode implements Node and records what the link passes to it.
type fakeNode struct {
	name         string
	number       int
	nodeCounters counters.Counters

	mu          sync.Mutex
	events      []balancer.Event
	gossip      []balancer.GossipReceived
	broadcaster Broadcaster
}

func (n *fakeNode) Name() string                 { return n.name }
func (n *fakeNode) Number() int                  { return n.number }
func (n *fakeNode) Clock() clock.Clock           { return clock.New() }
func (n *fakeNode) Counters() *counters.Counters { return &n.nodeCounters }
func (n *fakeNode) Classes() []balancer.Class {
	return []balancer.Class{{Name: "look", PriorityWeight: 1}}
}
func (n *fakeNode) HasPredecessor() bool { return false }
func (n *fakeNode) HasSuccessor() bool   { return false }

func (n *fakeNode) ApplyEvent(e balancer.Event, _ bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, e)
}

func (n *fakeNode) SetBroadcaster(t Broadcaster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcaster = t
}

func (n *fakeNode) ReceiveGossip(m balancer.GossipReceived) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gossip = append(n.gossip, m)
}

// lastQuota returns the last quota that was passed to the balancer.
func (n *fakeNode) lastQuota() (out balancer.FleetQuota) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.events {
		if quota, ok := e.(balancer.FleetQuota); ok {
			out = quota
		}
	}
	return out
}

// eventually polls a condition and fails the test if it is still false after 20 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached within 20s: %s", description)
}

// Runs two nodes with a link each. A message of one balancer must reach the other with the sender's node number. Each balancer must
// start with no quota and reach half of the whole. When one link stops, the other must get the whole quota at once.
func TestTwoLinksExchangeMessagesAndDivideQuota(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var addresses [2]string
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		_ = listener.Close()
	}
	nodes := [2]*fakeNode{{name: "n0", number: 4}, {name: "n1", number: 7}}
	var links [2]subsystem.Instance
	for i, n := range nodes {
		options := Subsystem().Section.New().(*Options)
		options.Listen, options.Seeds, options.Overload, options.QuotaMembers = addresses[i], []string{addresses[1-i]}, true,
			map[string]string{"n0": addresses[0], "n1": addresses[1]}
		options.LeaseTTL = operator.Duration(time.Second) // shortens the wait for the first grant, which takes about 4 s by default
		if diagnostics := options.validate(); len(diagnostics) > 0 {
			t.Fatal(diagnostics)
		}
		instance, err := build(subsystem.Host{Log: slog.New(slog.DiscardHandler), Node: n}, options, nil)
		if err != nil {
			t.Fatal(err)
		}
		instance.Start(context.Background())
		links[i] = instance
		if quota := n.lastQuota(); quota != (balancer.FleetQuota{}) {
			t.Errorf("%s: initial quota = %+v, want zero", n.name, quota)
		}
	}
	defer links[0].Stop()
	for _, n := range nodes {
		eventually(t, "half of the quota for "+n.name, func() bool { return n.lastQuota().Current == 0.5 })
	}
	nodes[0].broadcaster.Broadcast([]byte("news"))
	eventually(t, "the message of the other balancer", func() bool {
		nodes[1].mu.Lock()
		defer nodes[1].mu.Unlock()
		return len(nodes[1].gossip) == 1 && nodes[1].gossip[0].From == 4 && string(nodes[1].gossip[0].Body) == "news"
	})
	links[1].Stop()
	if quota := nodes[1].lastQuota(); quota != (balancer.FleetQuota{}) || nodes[1].broadcaster != nil {
		t.Errorf("after Stop: quota = %+v, broadcaster = %v; want zero and nil", quota, nodes[1].broadcaster)
	}
	eventually(t, "the whole quota for the remaining member", func() bool { quota := nodes[0].lastQuota(); return quota.Current == 1 && quota.After == 1 })
	if _, err := build(subsystem.Host{Log: slog.New(slog.DiscardHandler), Node: nodes[0]}, &Options{Listen: addresses[1],
		QuotaMembers: map[string]string{"n1": addresses[1], "n2": addresses[0]}}, nil); err == nil {
		t.Error("build succeeded for a member that is not in QuotaMembers, want an error")
	}
}
