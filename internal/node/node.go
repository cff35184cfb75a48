// Package node assembles one node: it builds the parts around the balancer, keeps the process
// within its machine's limits, follows signals, and runs the subsystems that the operator file
// turns on.
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
	"tackhub.example/tackhub/internal/proxy"
	"tackhub.example/tackhub/internal/shadow"
	"tackhub.example/tackhub/internal/subsystem"
	"tackhub.example/tackhub/internal/upstream"
)

// node is all parts of one running node.
type node struct {
	name        string
	nodeNumber  int // by the settings
	known       discovery.List
	classes     []balancer.Class
	dedupWindow time.Duration // the longest of any class
	clock       clock.Clock
	counters    *counters.Counters

	engine        *engine.Engine
	shadow        *shadow.Evaluator // the balancer, and other settings beside it
	handler       *proxy.Handler
	ingress       *ingress.Server
	pool          *upstream.Pool
	coapTransport *back.Transport
	discovery     *discovery.Client
	endpoints     *endpoints.Directory

	gossip      *gossip.Transport                   // nil where nodes send no messages to one another
	broadcaster atomic.Pointer[cluster.Broadcaster] // of the balancer's messages; nil: gossip, where there is any
	admin       *admin.Server                       // nil where administrators have no listener
	subsystems  *subsystem.Manager

	serving         atomic.Bool // clients are accepted
	drainPlan       drain.Plan
	inFlight        inflight.Tracker // requests that were received, over whichever protocol
	maxConnsPerSide int              // connections to clients, and to servers

	upgrade          *upgrade
	transferredState atomic.Pointer[balancer.State] // of the predecessor, until the endpoint list is known

	background sync.WaitGroup
}

// startBackground starts the engine, the connection pool and the listeners beside the clients' one.
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

// waitBackground lets the engine and the pool end, so that their last log lines and counts are there.
func (n *node) waitBackground() { n.background.Wait() }

// followDiscovery begins to follow the endpoint list. The subsystems are started by then: one that
// merges lists gets the first one too. The exit does not wait for it, since its call may be held
// for seconds.
func (n *node) followDiscovery(ctx context.Context) {
	go n.discovery.Run(ctx, n.known, n.endpoints)
}

// sendAttempt sends a request to a server, over the protocol that the server speaks.
func (n *node) sendAttempt(server balancer.ServerID, r engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt {
	if n.coapTransport.Handles(server) {
		return n.coapTransport.Send(server, r, done)
	}
	return n.pool.Send(server, r, done)
}

// ProbeLoad asks a server for its load, over the protocol that the server speaks.
func (n *node) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	if n.coapTransport.Handles(server) {
		n.coapTransport.Probe(server, probeTimeout, done)
		return
	}
	n.pool.ProbeLoad(server, done)
}

// Broadcast passes a message of the balancer's on to the other nodes. It does not wait.
func (n *node) Broadcast(body []byte) {
	if b := n.broadcaster.Load(); b != nil {
		(*b).Broadcast(body)
	} else if n.gossip != nil {
		n.gossip.Broadcast(body)
	}
}

// engineForwarder hands endpoint lists and gossip to the engine, which is made after their sources.
type engineForwarder struct{ n *node }

// UpdateEndpoints hands the list on, and after it the state of the predecessor, which is of
// servers that the balancer has heard of by then.
func (f engineForwarder) UpdateEndpoints(update balancer.EndpointUpdate) {
	f.n.engine.UpdateEndpoints(update)
	if len(update.Endpoints) == 0 { // the list itself may not have been taken over
		return
	}
	if state := f.n.transferredState.Swap(nil); state != nil {
		f.n.engine.Post(balancer.StateTransferred{State: *state})
	}
}

// ReceiveGossip hands another node's message on.
func (f engineForwarder) ReceiveGossip(m balancer.GossipReceived) { f.n.engine.ReceiveGossip(m) }
