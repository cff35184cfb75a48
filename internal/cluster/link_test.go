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

// fakeNode is a node as the link sees it.
type fakeNode struct {
	name   string
	number int
	count  counters.Counters

	mu          sync.Mutex
	events      []balancer.Event
	gossip      []balancer.GossipReceived
	broadcaster Broadcaster
}

func (n *fakeNode) Name() string                 { return n.name }
func (n *fakeNode) Number() int                  { return n.number }
func (n *fakeNode) Clock() clock.Clock           { return clock.New() }
func (n *fakeNode) Counters() *counters.Counters { return &n.count }
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

// quota returns the last one that the balancer was given.
func (n *fakeNode) quota() (out balancer.FleetQuota) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.events {
		if s, is := e.(balancer.FleetQuota); is {
			out = s
		}
	}
	return out
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// Two nodes with a link each: a balancer's message reaches the other under the sender's number, each balancer begins with no quota
// and comes to half of the whole, and the end of one hands its part to the other at once.
func TestTwoLinks(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var at [2]string
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at[i] = l.Addr().String()
		_ = l.Close()
	}
	nodes := [2]*fakeNode{{name: "n0", number: 4}, {name: "n1", number: 7}}
	var links [2]subsystem.Instance
	for i, n := range nodes {
		o := Subsystem().Section.New().(*Options)
		o.Listen, o.Seeds, o.Overload, o.QuotaMembers = at[i], []string{at[1-i]}, true, map[string]string{"n0": at[0], "n1": at[1]}
		o.LeaseTTL = operator.Duration(time.Second) // the test need not wait for four
		if faults := o.validate(); len(faults) > 0 {
			t.Fatal(faults)
		}
		r, err := build(subsystem.Host{Log: slog.New(slog.DiscardHandler), Node: n}, o, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Start(context.Background())
		links[i] = r
		if s := n.quota(); s != (balancer.FleetQuota{}) {
			t.Errorf("%s begins with %+v", n.name, s)
		}
	}
	defer links[0].Stop()
	for _, n := range nodes {
		eventually(t, "half of the whole for "+n.name, func() bool { return n.quota().Current == 0.5 })
	}
	nodes[0].broadcaster.Broadcast([]byte("news"))
	eventually(t, "the balancer's message", func() bool {
		nodes[1].mu.Lock()
		defer nodes[1].mu.Unlock()
		return len(nodes[1].gossip) == 1 && nodes[1].gossip[0].From == 4 && string(nodes[1].gossip[0].Body) == "news"
	})
	links[1].Stop()
	if s := nodes[1].quota(); s != (balancer.FleetQuota{}) || nodes[1].broadcaster != nil {
		t.Errorf("stopped it has %+v, and carries %v", s, nodes[1].broadcaster)
	}
	eventually(t, "the whole for who is left", func() bool { s := nodes[0].quota(); return s.Current == 1 && s.After == 1 })
	if _, err := build(subsystem.Host{Log: slog.New(slog.DiscardHandler), Node: nodes[0]}, &Options{Listen: at[1], QuotaMembers: map[string]string{"n1": at[1], "n2": at[0]}}, nil); err == nil {
		t.Error("a member that is not among those that share was built")
	}
}
