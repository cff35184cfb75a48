package node

import (
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/inflight"
)

// This file implements the interfaces through which the administrators' listener and the subsystems
// use the node: admin.Node, endpoints.Node, front.Node, cluster.Node and savedlist.Node.

// Ready reports whether this process serves clients and is not in an administrative drain.
func (n *node) Ready() bool { return n.serving.Load() && !n.ingress.AdminDraining() }

// Stats returns the summary of the counters for administrators, in JSON.
func (n *node) Stats() []byte { return n.counters.AdminSummary() }

// Drain begins an administrative drain: the health check fails and connections are closed, so that
// clients move to other nodes. The process keeps running. The sibling process of an upgrade is notified.
func (n *node) Drain() {
	n.ingress.BeginAdminDrain()
	n.upgrade.sendDrain(true)
}

// Undrain ends an administrative drain and notifies the sibling process of an upgrade.
func (n *node) Undrain() {
	n.ingress.EndAdminDrain()
	n.upgrade.sendDrain(false)
}

// Name returns the node's name.
func (n *node) Name() string { return n.name }

// Number returns the number of this node in the fleet, counted from 0. It comes from the settings.
func (n *node) Number() int { return n.nodeNumber }

// Classes returns the request classes of the settings.
func (n *node) Classes() []balancer.Class { return n.classes }

// Clock returns the node's clock.
func (n *node) Clock() clock.Clock { return n.clock }

// Counters returns the node's counters.
func (n *node) Counters() *counters.Counters { return n.counters }

// Endpoints returns the directory that provides the endpoint list.
func (n *node) Endpoints() *endpoints.Directory { return n.endpoints }

// DiscoveryAddress returns the address of the discovery service, as host:port.
func (n *node) DiscoveryAddress() string { return n.discovery.ServiceAddress() }

// DiscoveryList returns the endpoint list of discovery.
func (n *node) DiscoveryList() discovery.List { return n.discovery.List() }

// DiscoveryListChanged returns a channel that receives a value after lists of discovery were applied.
func (n *node) DiscoveryListChanged() <-chan struct{} { return n.discovery.Changed() }

// RestoreDiscoveryList replaces the list of the configuration before the node follows discovery. It returns false without an effect
// if the node does so already, or has its predecessor's list, which is newer.
func (n *node) RestoreDiscoveryList(list discovery.List) bool {
	if n.upgrade.predecessorLink != nil || !n.discovery.Restore(list) {
		return false
	}
	n.initialList = list
	return true
}

// Superseded reports whether a later process of this node serves.
func (n *node) Superseded() bool { return n.upgrade.successorServes.Load() }

// ConfigWritten returns when the configuration was written.
func (n *node) ConfigWritten() time.Time { return n.configWritten }

// Handler returns the handler of client requests, which is the same for all protocols.
func (n *node) Handler() front.Handler { return n.handler }

// InFlight returns the tracker of the requests that the node has received and not yet answered.
func (n *node) InFlight() *inflight.Tracker { return &n.inFlight }

// LastResponse returns the time by which a shutdown that has begun, or begins now, has written every response.
func (n *node) LastResponse() time.Time {
	schedule := n.shutdown.Load()
	if schedule == nil { // the listener has failed
		schedule = n.drainPlan.Start(time.Now())
	}
	return schedule.At(schedule.LastResponse)
}

// SetBroadcaster makes the node send the balancer's messages to the other nodes through b. If b is nil,
// the node uses the gossip transport again, if it has one.
func (n *node) SetBroadcaster(b cluster.Broadcaster) {
	if b == nil {
		n.broadcaster.Store(nil)
		return
	}
	n.broadcaster.Store(&b)
}

// ReceiveGossip passes another node's message to the balancer.
func (n *node) ReceiveGossip(m balancer.GossipReceived) { n.engine.ReceiveGossip(m) }

// ApplyEvent passes an event that concerns the whole fleet to the balancer. If wait is true, it
// returns after the balancer has processed the event.
func (n *node) ApplyEvent(event balancer.Event, wait bool) {
	n.engine.Post(event)
	if wait {
		n.engine.RunBetweenSteps(func() {}) // runs after the event, since the mailbox is a FIFO queue
	}
}

// HasPredecessor reports whether this process took over from another process of this node.
func (n *node) HasPredecessor() bool { return n.upgrade != nil && n.upgrade.predecessorLink != nil }

// HasSuccessor reports whether a successor of this process serves.
func (n *node) HasSuccessor() bool { return n.upgrade != nil && n.upgrade.successorServes.Load() }
