// Package node wires one node: it builds the stages around the decision module, keeps the process within its machine's
// limits, follows signals, and runs what the operator file turns on.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/admin"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/config"
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

const (
	// reserve is what the node needs of the descriptors for itself: the standard streams, the poller, the
	// listener, discovery, and connections that are just being closed.
	reserve = 32

	// eachShare of the servers' connections may lead to one server: one that hangs must not take them all.
	eachShare = 0.25

	// filesPer descriptors one may be the file of a large request, and fewestFiles there are at the least. Requests that
	// large are few beside the rest, and who finds none free waits.
	filesPer, fewestFiles = 32, 4

	// bodyShare of the memory may be buffers of large answers on their way, and of large requests.
	bodyShare = 0.125

	// defaultConnect is the limit for a connection to come up where the settings state none.
	defaultConnect = 250

	// nstart bounds the exchanges out to one CoAP server. RFC 7252 (4.7) has 1 for servers that nobody knows; these stand
	// in an inventory of our own, and what is sent to them is the module's to choose. It is what one server may have of
	// the connections over HTTP on a node with the least descriptors.
	nstart = 28

	// manyNodes is where a node keeps spareMany idle connections to a server at the most: servers hold only so many of all
	// nodes together, and a node's part of the traffic falls with their number.
	manyNodes, spareMany = 8, 1

	// probeTime is a probe's: by then the request that it was made for has long been sent elsewhere, and a
	// server that takes longer for it cannot serve in time.
	probeTime = 50 * time.Millisecond
)

// node is all parts of one running node.
type node struct {
	name    string
	known   discovery.List
	clock   clock.Clock
	count   *counters.Counters
	window  time.Duration
	desk    *proxy.Handler
	classes []balancer.Class
	back    *back.Transport
	roster  *endpoints.Directory
	catalog *discovery.Client
	pool    *upstream.Pool
	engine  *engine.Engine
	watch   *shadow.Evaluator // around the module
	peers   *gossip.Transport // nil where nodes do not talk
	ingress *ingress.Server
	door    *admin.Server // nil where staff have none
	serving atomic.Bool   // clients are taken in
	upgrade *upgrade
	legacy  atomic.Pointer[balancer.State] // of the process before, until the list is told
	each    int                            // connections on either side
	ending  sync.WaitGroup

	plan     drain.Plan       // of a planned stop
	inFlight inflight.Tracker // the requests that were taken, whichever front has them

	subsystems *subsystem.Manager                  // what the operator file turns on
	number     int                                 // of the settings
	carrier    atomic.Pointer[cluster.Broadcaster] // of the module's messages; nil: peers, where there are any
}

func newNode(c config.Config, log *slog.Logger, count *counters.Counters) (*node, error) {
	set := c.Settings.Balancer
	module, err := balancer.New(set, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	clk := clock.New()
	files := max(fewestFiles, c.Limits.Sockets/filesPer)
	own := reserve + files
	if c.Operator != "" {
		own += admin.MaxConnections + 1
	}
	each := (c.Limits.Sockets - own) / 2
	count.Operations = counters.Operations{}
	for _, class := range set.Classes {
		count.Operations[class.Name] = &counters.Operation{}
	}
	n := &node{name: c.Name, number: set.Node, each: each, known: c.Known, clock: clk, count: count, window: longestWindow(set),
		plan: drain.NewPlan(longest(set))}
	n.catalog = discovery.New(discovery.Options{Address: c.Discovery, Nodes: set.Nodes, Subscribe: set.WatchEndpoints,
		MaxPollInterval: clock.Span(set.WatchDeadline), DrainGrace: clock.Span(set.DrainGrace), Log: log, Count: count}, c.Known)
	n.roster = endpoints.New(n.catalog, lateNews{n})
	n.pool = upstream.New(upstream.Options{Resolver: n.roster, ConnectTimeout: clock.Span(connect(set)),
		IdleTimeout: clock.Span(c.Settings.ServerIdleTimeout), ProbeTimeout: probeTime, MaxConns: each, MaxConnsPerServer: max(4, int(float64(each)*eachShare)), MaxIdlePerServer: spare(set.Nodes),
		OnIdleClosed: func(id balancer.ServerID) { n.engine.Post(balancer.ConnectionClosed{Server: id}) }, LoadReports: set.LoadReports, QueueReports: c.Settings.QueuedIndex >= 0, Log: log, Counters: count})
	n.back = back.New(back.Options{Resolver: n.roster, MaxExchanges: nstart, RetransmitWindow: clock.Span(set.DrainGrace / 2),
		ParseLoad: n.pool.ParseLoad, Log: log, Count: &count.CoapServers})
	n.watch = shadow.New(module, c.Watch, log, &count.Shadow)
	if len(c.Peers) > 0 {
		n.peers, err = gossip.Listen(gossip.Options{Node: set.Node, Nodes: c.Peers, Receiver: lateNews{n}, Log: log, Counters: &count.Gossip})
		if err != nil {
			return nil, err
		}
	}
	n.engine = engine.New(engine.Options{Module: n.watch, Clock: clk, Prober: n, EndpointWatcher: n.catalog, Broadcaster: n,
		MaxAttempts: set.MaxAttempts, Log: log, Counters: count})
	n.classes = set.Classes
	bodies := body.New(os.Getenv("TMPDIR"), files, max(fewestFiles, int(c.Limits.MemoryMB*bodyShare*(1<<20))/body.BufferSize), &count.Bodies)
	n.desk = proxy.NewHandler(proxy.Options{Router: n.engine, Send: n.send, Clock: clk, Bodies: bodies, Classes: set.Classes,
		DeadlineSlack: c.Settings.ResponseSlack, Log: log, Counters: count})
	n.ingress = ingress.New(ingress.Options{Handler: n.desk, Bodies: bodies, MaxConns: each, ReservedDescriptors: own / 2, InFlight: &n.inFlight, Log: log, Counters: count,
		OnListenerBroken: func(l ingress.Listener, err error) {
			log.Error("the listener is broken, the node ends once all is answered", "code", "listener_broken", "error", err)
			n.beginStop(n.plan.Start(time.Now()), l, "", log)
		}})
	return n, nil
}

func (n *node) send(server balancer.ServerID, c engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt {
	if n.back.Handles(server) {
		return n.back.Send(server, c, done)
	}
	return n.pool.Send(server, c, done)
}

// Probe asks a server for a sign of life, over the protocol that it speaks.
func (n *node) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	if n.back.Handles(server) {
		n.back.Probe(server, probeTime, done)
		return
	}
	n.pool.ProbeLoad(server, done)
}

// lateNews hands the roster's news to the engine, which is made after it.
type lateNews struct{ n *node }

// ListNews tells the module.
func (l lateNews) UpdateEndpoints(list balancer.EndpointUpdate) {
	l.n.engine.UpdateEndpoints(list)
	if len(list.Endpoints) == 0 { // the list itself may not have been taken over
		return
	}
	if from := l.n.legacy.Swap(nil); from != nil { // of servers that the module has heard of by now
		l.n.engine.Post(balancer.StateTransferred{State: *from})
	}
}

// Hear tells the module.
func (l lateNews) ReceiveGossip(m balancer.GossipReceived) { l.n.engine.ReceiveGossip(m) }

// start sets the engine and the pool going.
func (n *node) start(ctx context.Context) {
	n.ending.Go(func() { n.engine.Run(ctx) })
	n.ending.Go(func() { n.pool.Run(ctx) })
	if n.door != nil {
		n.ending.Go(func() { n.door.Run(ctx) })
	}
	if n.peers != nil {
		n.ending.Go(func() { n.peers.Run(ctx) })
	}
}

// follow begins to follow discovery. The subsystems stand by then: one that merges lists gets the first one too.
func (n *node) follow(ctx context.Context) {
	go n.catalog.Run(ctx, n.known, n.roster) // its call may be held for seconds: the exit does not wait for it
}

// Ready tells staff whether this process serves clients and wants them.
func (n *node) Ready() bool { return n.serving.Load() && !n.ingress.AdminDrained() }

// Figures are what staff are shown.
func (n *node) Stats() []byte { return n.count.AdminSummary() }

// Drain sends clients elsewhere, and Undrain welcomes them again; the process runs on.
func (n *node) Drain() {
	n.ingress.BeginAdminDrain()
	n.upgrade.tellDrain(true)
}

// Undrain ends the drain by hand.
func (n *node) Undrain() {
	n.ingress.EndAdminDrain()
	n.upgrade.tellDrain(false)
}

// Roster, Clock, Window and Counters are what the inventory needs.
func (n *node) Endpoints() *endpoints.Directory { return n.roster }

// Clock is the node's.
func (n *node) Clock() clock.Clock { return n.clock }

// Window is the longest time in which a keyed request's repeats are dropped.
func (n *node) IdempotencyWindow() time.Duration { return n.window }

// Number is the node's, by its settings.
func (n *node) Number() int { return n.number }

// Carry has the module's messages to other nodes go over a cluster's link, and with nil no longer.
func (n *node) SetBroadcaster(t cluster.Broadcaster) {
	if t == nil {
		n.carrier.Store(nil)
		return
	}
	n.carrier.Store(&t)
}

// Tell passes a message of the module's on to the other nodes. It does not wait.
func (n *node) Broadcast(body []byte) {
	if t := n.carrier.Load(); t != nil {
		(*t).Broadcast(body)
	} else if n.peers != nil {
		n.peers.Broadcast(body)
	}
}

// Hear tells the module what another node told.
func (n *node) ReceiveGossip(m balancer.GossipReceived) { n.engine.ReceiveGossip(m) }

// TookOver tells whether another process of this node ran when this one started.
func (n *node) TookOver() bool { return n.upgrade != nil && n.upgrade.heir != nil }

// Succeeded tells whether another process takes over now.
func (n *node) Succeeded() bool { return n.upgrade != nil && n.upgrade.succeeded.Load() }

// Inform tells the module what concerns the fleet as one; with heeded it returns once that is in force.
func (n *node) ApplyEvent(event balancer.Event, heeded bool) {
	n.engine.Post(event)
	if heeded {
		n.engine.RunBetweenSteps(func() {}) // after it in the mailbox
	}
}

// Desk takes requests through the stages, whatever protocol they came by.
func (n *node) Handler() front.Handler { return n.desk }

// Classes are those of the settings.
func (n *node) Classes() []balancer.Class { return n.classes }

// InFlight accounts for the requests that the node has taken.
func (n *node) InFlight() *inflight.Tracker { return &n.inFlight }

// Name is the node's.
func (n *node) Name() string { return n.name }

// Counters are the node's.
func (n *node) Counters() *counters.Counters { return n.count }

// wait lets the engine and the pool end, so that their last lines and counts are there.
func (n *node) wait() { n.ending.Wait() }

// spare is how many idle connections to one server are kept; 0: all.
func spare(nodes int) int {
	if nodes > manyNodes {
		return spareMany
	}
	return 0
}

func connect(set balancer.Settings) balancer.Millis {
	if set.ConnectTimeout > 0 {
		return set.ConnectTimeout
	}
	return defaultConnect
}

func longestWindow(set balancer.Settings) time.Duration {
	most := 0.0
	for _, c := range set.Classes {
		if c.Idempotency == balancer.IdempotentWithKey {
			most = max(most, c.DedupWindow)
		}
	}
	return clock.Span(most)
}

// longest is the longest that a client waits for an answer.
func longest(set balancer.Settings) time.Duration {
	most := 0.0
	for _, c := range set.Classes {
		most = max(most, c.TotalTimeout)
	}
	return clock.Span(most)
}
