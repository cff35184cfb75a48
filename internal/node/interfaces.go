package node

import (
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/inflight"
)

// What the administrators' listener and the subsystems need of the node: admin.Node,
// endpoints.Node, front.Node and cluster.Node.

// Ready reports whether this process serves clients and is not drained.
func (n *node) Ready() bool { return n.serving.Load() && !n.ingress.AdminDraining() }

// Stats is the counters' summary for administrators, in JSON.
func (n *node) Stats() []byte { return n.counters.AdminSummary() }

// Drain sends clients elsewhere until Undrain; the process runs on.
func (n *node) Drain() {
	n.ingress.BeginAdminDrain()
	n.upgrade.sendDrain(true)
}

// Undrain ends a drain by an administrator.
func (n *node) Undrain() {
	n.ingress.EndAdminDrain()
	n.upgrade.sendDrain(false)
}

// Name is the node's name.
func (n *node) Name() string { return n.name }

// Number is the node's number by its settings.
func (n *node) Number() int { return n.nodeNumber }

// Classes are those of the settings.
func (n *node) Classes() []balancer.Class { return n.classes }

// Clock is the node's clock.
func (n *node) Clock() clock.Clock { return n.clock }

// Counters are the node's counters.
func (n *node) Counters() *counters.Counters { return n.counters }

// LongestDedupWindow is the longest time in which the repeats of a request with an idempotency key
// are dropped.
func (n *node) LongestDedupWindow() time.Duration { return n.dedupWindow }

// Endpoints is where the endpoint list comes from.
func (n *node) Endpoints() *endpoints.Directory { return n.endpoints }

// Handler takes requests through the stages, whatever protocol they came by.
func (n *node) Handler() front.Handler { return n.handler }

// InFlight accounts for the requests that the node has received.
func (n *node) InFlight() *inflight.Tracker { return &n.inFlight }

// SetBroadcaster has the balancer's messages to other nodes go over a cluster's transport; with nil
// no longer.
func (n *node) SetBroadcaster(b cluster.Broadcaster) {
	if b == nil {
		n.broadcaster.Store(nil)
		return
	}
	n.broadcaster.Store(&b)
}

// ReceiveGossip hands the balancer another node's message.
func (n *node) ReceiveGossip(m balancer.GossipReceived) { n.engine.ReceiveGossip(m) }

// ApplyEvent hands the balancer an event that concerns the whole fleet; with wait it returns once
// the event is in force.
func (n *node) ApplyEvent(event balancer.Event, wait bool) {
	n.engine.Post(event)
	if wait {
		n.engine.RunBetweenSteps(func() {}) // behind the event in the mailbox
	}
}

// HasPredecessor reports whether another process of this node ran when this one started.
func (n *node) HasPredecessor() bool { return n.upgrade != nil && n.upgrade.predecessorLink != nil }

// HasSuccessor reports whether another process takes over now.
func (n *node) HasSuccessor() bool { return n.upgrade != nil && n.upgrade.successorServes.Load() }
