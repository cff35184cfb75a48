// Package node assembles one node: it builds the components around the balancer, keeps the process
// within the limits of its machine, handles signals, and runs the subsystems that the operator file
// enables.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/admin"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/gossip"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/ingress"
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/proxy"
	"tackhub.example/tackhub/internal/shadow"
	"tackhub.example/tackhub/internal/subsystem"
	"tackhub.example/tackhub/internal/upstream"
)

// node holds the components of one running node.
type node struct {
	name          string
	nodeNumber    int            // from the settings
	initialList   discovery.List // from the configuration, the predecessor or the disk, used until discovery responds
	classes       []balancer.Class
	configWritten time.Time
	clock         clock.Clock
	counters      *counters.Counters

	engine        *engine.Engine
	shadow        *shadow.Evaluator // wraps the balancer and evaluates the shadow settings
	handler       *proxy.Handler
	ingress       *ingress.Server
	pool          *upstream.Pool
	coapTransport *back.Transport
	discovery     *discovery.Client
	endpoints     *endpoints.Directory

	memory       *memory.Account
	memoryBudget *memoryBudget

	gossip      *gossip.Transport                   // nil if gossip between nodes is off
	broadcaster atomic.Pointer[cluster.Broadcaster] // sends the balancer's messages; nil: gossip is used if it is on
	admin       *admin.Server                       // nil without an administrators' listener
	subsystems  *subsystem.Manager

	serving         atomic.Bool // client connections are accepted
	drainPlan       drain.Plan
	shutdown        atomic.Pointer[drain.Schedule] // nil: no graceful shutdown has begun
	inFlight        inflight.Tracker               // received requests of all protocols
	maxConnsPerSide int                            // limit of the connections to clients; the same limit applies to those to servers

	upgrade          *upgrade
	transferredState atomic.Pointer[balancer.State] // state of the predecessor's balancer; nil once it is passed to this one

	background sync.WaitGroup
}

// startBackground starts the engine, the connection pool and all listeners except the clients' one.
func (n *node) startBackground(ctx context.Context) {
	n.background.Go(func() { n.engine.Run(ctx) })
	n.background.Go(func() { n.pool.Run(ctx) })
	if n.admin != nil {
		n.background.Go(func() { n.admin.Run(ctx) })
	}
	if n.gossip != nil {
		n.background.Go(func() { n.gossip.Run(ctx) })
	}
}

// waitBackground waits until the goroutines of n.background have returned, so that their last log lines
// and counts are recorded.
func (n *node) waitBackground() { n.background.Wait() }

// followDiscovery starts the discovery client. The subsystems must be started before it, so that
// a subsystem that merges endpoint lists receives the first list too. The exit of the process does not
// wait for this goroutine, since discovery may delay the response to a call for seconds.
func (n *node) followDiscovery(ctx context.Context) {
	go n.discovery.Run(ctx, n.initialList, n.endpoints)
}

// sendAttempt sends a request to a server over the protocol of that server.
func (n *node) sendAttempt(server balancer.ServerID, r engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt {
	if n.coapTransport.Handles(server) {
		return n.coapTransport.Send(server, r, done)
	}
	return n.pool.Send(server, r, done)
}

// ProbeLoad sends a load probe to a server over the protocol of that server.
func (n *node) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	if n.coapTransport.Handles(server) {
		n.coapTransport.Probe(server, probeTimeout, done)
		return
	}
	n.pool.ProbeLoad(server, done)
}

// Broadcast sends a message of the balancer to the other nodes. It does not block.
func (n *node) Broadcast(body []byte) {
	if b := n.broadcaster.Load(); b != nil {
		(*b).Broadcast(body)
	} else if n.gossip != nil {
		n.gossip.Broadcast(body)
	}
}

// engineForwarder passes endpoint lists and gossip to the engine. It refers to the node instead of the
// engine, since discovery and the gossip transport are built before the engine.
type engineForwarder struct{ n *node }

// UpdateEndpoints passes an endpoint update to the engine. After the first update with endpoints it
// also passes on the predecessor's state, which the balancer can apply only to servers in its list.
func (f engineForwarder) UpdateEndpoints(update balancer.EndpointUpdate) {
	f.n.engine.UpdateEndpoints(update)
	if len(update.Endpoints) == 0 { // for example, the first list is empty if the predecessor's was not taken over
		return
	}
	if state := f.n.transferredState.Swap(nil); state != nil {
		f.n.engine.Post(balancer.StateTransferred{State: *state})
	}
}

// ReceiveGossip passes another node's message to the engine.
func (f engineForwarder) ReceiveGossip(m balancer.GossipReceived) { f.n.engine.ReceiveGossip(m) }
