package node

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/admin"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/gossip"
	"tackhub.example/tackhub/internal/ingress"
	"tackhub.example/tackhub/internal/proxy"
	"tackhub.example/tackhub/internal/shadow"
	"tackhub.example/tackhub/internal/upstream"
)

const (
	// reservedDescriptors are the node's own: the standard streams, the poller, the listener,
	// discovery, and connections that are just being closed.
	reservedDescriptors = 32

	// maxServerShare of the connections to servers may lead to one server: one that hangs must not
	// take them all.
	maxServerShare = 0.25
	// minConnsPerServer may lead to one server, however few descriptors there are.
	minConnsPerServer = 4

	// Of so many descriptors one may be the file of a large request, and at least minFiles. Large
	// requests are few beside the rest, and one that finds no file waits.
	descriptorsPerFile = 32
	minFiles           = 4

	// bodyMemoryShare of the memory may be buffers of large requests and responses.
	bodyMemoryShare = 0.125
	bytesPerMB      = 1 << 20

	// defaultConnectTimeout, in ms, is the limit for a connection to come up where the settings
	// have none.
	defaultConnectTimeout = 250

	// coapMaxExchanges bounds the exchanges out to one CoAP server. RFC 7252 (4.7) has 1 for
	// servers that nobody knows; these stand in an inventory of the operator's, and what is sent to
	// them is the balancer's to choose. It is what one server may have of the HTTP connections on a
	// node with the fewest descriptors.
	coapMaxExchanges = 28

	// In a fleet of more than largeFleet nodes a node keeps at most largeFleetIdleConns idle
	// connections to a server: servers hold only so many of all nodes together, and a node's part
	// of the traffic falls with their number.
	largeFleet          = 8
	largeFleetIdleConns = 1

	// probeTimeout is a load probe's: by then the request that it was sent for has long gone
	// elsewhere, and a server that takes longer can't serve in time.
	probeTimeout = 50 * time.Millisecond
)

// descriptors is how a node divides the descriptors that it may have.
type descriptors struct {
	files    int // of large requests
	reserved int // for the node itself, the files among them
	perSide  int // connections to clients, and as many to servers
}

func divideDescriptors(c config.Config) descriptors {
	files := max(minFiles, c.Limits.Sockets/descriptorsPerFile)
	reserved := reservedDescriptors + files
	if c.AdminAddress != "" {
		reserved += admin.MaxConnections + 1
	}
	return descriptors{files: files, reserved: reserved, perSide: (c.Limits.Sockets - reserved) / 2}
}

// newNode builds a node; nothing of it runs yet.
func newNode(c config.Config, log *slog.Logger, count *counters.Counters) (*node, error) {
	set := c.Settings.Balancer
	module, err := balancer.New(set, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	count.Operations = counters.Operations{}
	for _, class := range set.Classes {
		count.Operations[class.Name] = &counters.Operation{}
	}
	budget := divideDescriptors(c)
	n := &node{
		name:            c.Name,
		nodeNumber:      set.Node,
		known:           c.Known,
		classes:         set.Classes,
		dedupWindow:     longestDedupWindow(set),
		clock:           clock.New(),
		counters:        count,
		maxConnsPerSide: budget.perSide,
		drainPlan:       drain.NewPlan(longestTimeout(set)),
	}
	n.buildEndpoints(c, log)
	n.buildTransports(c, budget, log)
	n.shadow = shadow.New(module, c.Shadow, log, &count.Shadow)
	if err := n.buildGossip(c, log); err != nil {
		return nil, err
	}
	n.engine = engine.New(engine.Options{
		Balancer:        n.shadow,
		Clock:           n.clock,
		Prober:          n,
		EndpointWatcher: n.discovery,
		Broadcaster:     n,
		MaxAttempts:     set.MaxAttempts,
		Log:             log,
		Counters:        count,
	})
	n.buildClientSide(c, budget, log)
	return n, nil
}

func (n *node) buildEndpoints(c config.Config, log *slog.Logger) {
	set := c.Settings.Balancer
	n.discovery = discovery.New(discovery.Options{
		Address:         c.Discovery,
		Nodes:           set.Nodes,
		WatchOnRequest:  set.WatchEndpoints,
		MaxPollInterval: clock.Span(set.MaxPollInterval),
		DrainGrace:      clock.Span(set.DrainGrace),
		Log:             log,
		Count:           n.counters,
	}, c.Known)
	n.endpoints = endpoints.New(n.discovery, engineForwarder{n})
}

func (n *node) buildTransports(c config.Config, budget descriptors, log *slog.Logger) {
	set := c.Settings.Balancer
	n.pool = upstream.New(upstream.Options{
		Resolver:          n.endpoints,
		ConnectTimeout:    clock.Span(connectTimeout(set)),
		IdleTimeout:       clock.Span(c.Settings.ServerIdleTimeout),
		ProbeTimeout:      probeTimeout,
		MaxConns:          budget.perSide,
		MaxConnsPerServer: max(minConnsPerServer, int(float64(budget.perSide)*maxServerShare)),
		MaxIdlePerServer:  maxIdlePerServer(set.Nodes),
		OnIdleClosed: func(id balancer.ServerID) {
			n.engine.Post(balancer.ConnectionClosed{Server: id})
		},
		LoadReports:  set.LoadReports,
		QueueReports: c.Settings.QueuedIndex >= 0,
		Log:          log,
		Counters:     n.counters,
	})
	n.coapTransport = back.New(back.Options{
		Resolver:         n.endpoints,
		MaxExchanges:     coapMaxExchanges,
		RetransmitWindow: clock.Span(set.DrainGrace / 2),
		ParseLoad:        n.pool.ParseLoad,
		Log:              log,
		Count:            &n.counters.CoapServers,
	})
}

func (n *node) buildGossip(c config.Config, log *slog.Logger) error {
	if len(c.GossipNodes) == 0 {
		return nil
	}
	var err error
	n.gossip, err = gossip.Listen(gossip.Options{
		Node:     n.nodeNumber,
		Nodes:    c.GossipNodes,
		Receiver: engineForwarder{n},
		Log:      log,
		Counters: &n.counters.Gossip,
	})
	return err
}

func (n *node) buildClientSide(c config.Config, budget descriptors, log *slog.Logger) {
	buffers := int(c.Limits.MemoryMB*bodyMemoryShare*bytesPerMB) / body.BufferSize
	bodies := body.New(os.Getenv("TMPDIR"), budget.files, max(minFiles, buffers), &n.counters.Bodies)
	n.handler = proxy.NewHandler(proxy.Options{
		Router:        n.engine,
		Send:          n.sendAttempt,
		Clock:         n.clock,
		Bodies:        bodies,
		Classes:       n.classes,
		DeadlineSlack: c.Settings.ResponseSlack,
		Log:           log,
		Counters:      n.counters,
	})
	n.ingress = ingress.New(ingress.Options{
		Handler:             n.handler,
		Bodies:              bodies,
		MaxConns:            budget.perSide,
		ReservedDescriptors: budget.reserved / 2,
		InFlight:            &n.inFlight,
		Log:                 log,
		Counters:            n.counters,
		OnListenerBroken: func(l ingress.Listener, err error) {
			log.Error("the listener is broken, the node ends once all is answered", "code", "listener_broken", "error", err)
			n.beginShutdown(n.drainPlan.Start(time.Now()), l, "", log)
		},
	})
}

// maxIdlePerServer is how many idle connections to one server are kept; 0: all.
func maxIdlePerServer(nodes int) int {
	if nodes > largeFleet {
		return largeFleetIdleConns
	}
	return 0
}

func connectTimeout(set balancer.Settings) balancer.Millis {
	if set.ConnectTimeout > 0 {
		return set.ConnectTimeout
	}
	return defaultConnectTimeout
}

// longestDedupWindow is the longest time in which a class's repeats are dropped.
func longestDedupWindow(set balancer.Settings) time.Duration {
	longest := 0.0
	for _, class := range set.Classes {
		if class.Idempotency == balancer.IdempotentWithKey {
			longest = max(longest, class.DedupWindow)
		}
	}
	return clock.Span(longest)
}

// longestTimeout is the longest that a client waits for a response.
func longestTimeout(set balancer.Settings) time.Duration {
	longest := 0.0
	for _, class := range set.Classes {
		longest = max(longest, class.TotalTimeout)
	}
	return clock.Span(longest)
}
