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
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/proxy"
	"tackhub.example/tackhub/internal/shadow"
	"tackhub.example/tackhub/internal/upstream"
)

const (
	// reservedDescriptors is the number of descriptors for the node itself: the standard streams,
	// the poller, the listener, discovery, and connections that are being closed.
	reservedDescriptors = 32

	// maxConnFractionPerServer is the largest fraction of the connections to servers that one server
	// may use. Without the limit, a server that hangs would use them all.
	maxConnFractionPerServer = 0.25
	// minConnsPerServer is the number of connections that one server may always use, even if the
	// node has few descriptors.
	minConnsPerServer = 4

	// descriptorsPerBodyFile is the number of configured descriptors for each temporary file that the
	// node may open. These files store large requests, which are rare and wait if no file is free.
	descriptorsPerBodyFile = 32
	// minBodyFiles is the minimum limit of temporary files and of buffers for large bodies, even if
	// the node has few descriptors or little memory.
	minBodyFiles = 4

	// bodyMemoryFraction is the fraction of the memory limit that may be used as buffers for large
	// requests and responses.
	bodyMemoryFraction = 0.125
	bytesPerMB         = 1 << 20

	// defaultConnectTimeoutMillis limits the time to connect to a server if the settings contain no
	// connect timeout.
	defaultConnectTimeoutMillis = 250

	// coapMaxExchanges limits the exchanges in flight to one CoAP server. The default of RFC 7252
	// (NSTART, section 4.7) is 1, which is meant for unknown servers. These servers are listed by
	// the operator, and the balancer controls the load that it sends to them. The value equals the
	// limit of HTTP connections to one server on a node with the fewest descriptors.
	coapMaxExchanges = 28

	// largeFleet is the number of nodes above which each node keeps at most largeFleetIdleConns
	// idle connections to a server. A server limits the connections from all nodes together, and
	// the traffic of one node decreases as the number of nodes grows.
	largeFleet = 8
	// largeFleetIdleConns is the limit of idle connections to one server in a large fleet.
	largeFleetIdleConns = 1

	// probeTimeout is the timeout of a load probe. By then the request that caused the probe has
	// been sent to another server, and a server that needs longer for a probe cannot answer the
	// request in time.
	probeTimeout = 50 * time.Millisecond
)

// descriptorBudget is the division of the node's descriptor limit between its uses.
type descriptorBudget struct {
	bodyFiles int // temporary files of large requests
	reserved  int // descriptors for the node itself, including bodyFiles
	perSide   int // limit of the connections to clients; the same limit applies to those to servers
}

// divideDescriptors reserves the descriptors of the node itself, and divides the rest evenly between
// connections to clients and connections to servers.
func divideDescriptors(c config.Config) descriptorBudget {
	bodyFiles := max(minBodyFiles, c.Limits.Sockets/descriptorsPerBodyFile)
	reserved := reservedDescriptors + bodyFiles
	if c.AdminAddress != "" {
		reserved += admin.MaxConnections + 1
	}
	return descriptorBudget{bodyFiles: bodyFiles, reserved: reserved, perSide: (c.Limits.Sockets - reserved) / 2}
}

// newNode builds a node without starting any of its goroutines.
func newNode(c config.Config, log *slog.Logger, count *counters.Counters) (*node, error) {
	settings := c.Settings.Balancer
	activeBalancer, err := balancer.New(settings, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	count.Operations = counters.Operations{}
	for _, class := range settings.Classes {
		count.Operations[class.Name] = &counters.Operation{}
	}
	budget := divideDescriptors(c)
	n := &node{
		name:            c.Name,
		nodeNumber:      settings.Node,
		initialList:     c.Known,
		configWritten:   c.Written,
		classes:         settings.Classes,
		clock:           clock.New(),
		counters:        count,
		maxConnsPerSide: budget.perSide,
		drainPlan:       drain.NewPlan(longestTimeout(settings)),
	}
	n.memoryBudget = newMemoryBudget(c.Limits)
	n.memory = memory.New(memory.Options{
		Limit:       n.memoryBudget.accountLimit(),
		Log:         log,
		Counters:    &count.Memory,
		OnFileBytes: n.memoryBudget.setFileBytes,
	})
	n.buildEndpoints(c, log)
	n.buildTransports(c, budget, log)
	n.shadow = shadow.New(activeBalancer, c.Shadow, log, &count.Shadow)
	if err := n.buildGossip(c, log); err != nil {
		return nil, err
	}
	n.engine = engine.New(engine.Options{
		Balancer:        n.shadow,
		Clock:           n.clock,
		Prober:          n,
		EndpointWatcher: n.discovery,
		Broadcaster:     n,
		MaxAttempts:     settings.MaxAttempts,
		Log:             log,
		Counters:        count,
	})
	n.buildClientSide(c, budget, log)
	return n, nil
}

func (n *node) buildEndpoints(c config.Config, log *slog.Logger) {
	settings := c.Settings.Balancer
	n.discovery = discovery.New(discovery.Options{
		Address:         c.Discovery,
		Nodes:           settings.Nodes,
		WatchOnRequest:  settings.WatchEndpoints,
		MaxPollInterval: clock.Duration(settings.MaxPollInterval),
		DrainGrace:      clock.Duration(settings.DrainGrace),
		Log:             log,
		Count:           n.counters,
	}, c.Known)
	n.endpoints = endpoints.New(n.discovery, engineForwarder{n})
}

func (n *node) buildTransports(c config.Config, budget descriptorBudget, log *slog.Logger) {
	settings := c.Settings.Balancer
	n.pool = upstream.New(upstream.Options{
		Resolver:          n.endpoints,
		ConnectTimeout:    clock.Duration(connectTimeout(settings)),
		IdleTimeout:       clock.Duration(c.Settings.ServerIdleTimeout),
		ProbeTimeout:      probeTimeout,
		MaxConns:          budget.perSide,
		MaxConnsPerServer: max(minConnsPerServer, int(float64(budget.perSide)*maxConnFractionPerServer)),
		MaxIdlePerServer:  maxIdlePerServer(settings.Nodes),
		OnIdleClosed: func(id balancer.ServerID) {
			n.engine.Post(balancer.ConnectionClosed{Server: id})
		},
		ListRevision: n.discovery.Revision,
		Memory:       n.memory,
		LoadReports:  settings.LoadReports,
		QueueReports: c.Settings.QueuedIndex >= 0,
		Log:          log,
		Counters:     n.counters,
	})
	n.coapTransport = back.New(back.Options{
		Resolver:         n.endpoints,
		OnlyCoap:         func() bool { return n.endpoints.AllHaveScheme(back.Scheme) },
		MaxExchanges:     coapMaxExchanges,
		RetransmitWindow: clock.Duration(settings.DrainGrace / 2),
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

func (n *node) buildClientSide(c config.Config, budget descriptorBudget, log *slog.Logger) {
	buffers := int(c.Limits.MemoryMB*bodyMemoryFraction*bytesPerMB) / body.BufferSize
	bodies := body.New(os.Getenv("TMPDIR"), budget.bodyFiles, max(minBodyFiles, buffers), n.memory, &n.counters.Bodies)
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
		Memory:              n.memory,
		MaxConns:            budget.perSide,
		ReservedDescriptors: budget.reserved / 2,
		InFlight:            &n.inFlight,
		Log:                 log,
		Counters:            n.counters,
		OnListenerBroken: func(l ingress.Listener, err error) {
			log.Error("listener failed, shutting down after all requests are answered", "code", "listener_broken", "error", err)
			n.beginShutdown(n.drainPlan.Start(time.Now()), l, "", log)
		},
	})
}

// maxIdlePerServer returns the limit of idle connections to one server; 0 means no limit.
func maxIdlePerServer(nodes int) int {
	if nodes > largeFleet {
		return largeFleetIdleConns
	}
	return 0
}

func connectTimeout(settings balancer.Settings) balancer.Millis {
	if settings.ConnectTimeout > 0 {
		return settings.ConnectTimeout
	}
	return defaultConnectTimeoutMillis
}

// longestTimeout returns the longest total timeout of any class.
func longestTimeout(settings balancer.Settings) time.Duration {
	longest := 0.0
	for _, class := range settings.Classes {
		longest = max(longest, class.TotalTimeout)
	}
	return clock.Duration(longest)
}
