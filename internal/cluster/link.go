package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/subsystem"
)

const (
	// maxQueuedMessages limits the received messages queued for the core. Further datagrams are dropped, as the kernel drops them if a
	// socket buffer is full.
	maxQueuedMessages = 512

	// maxQueuedBroadcasts limits the balancer's messages queued for the core.
	maxQueuedBroadcasts = 64

	// bindRetryInterval is the interval at which a process that takes over tries to bind the address until its predecessor has
	// released it.
	bindRetryInterval = 50 * time.Millisecond
)

// Node is the interface through which the link uses its node.
type Node interface {
	Name() string
	Number() int
	Clock() clock.Clock
	Counters() *counters.Counters
	// Classes returns the request classes of the settings.
	Classes() []balancer.Class
	// ApplyEvent passes an event to the balancer. If wait is set, it returns once the event has taken effect.
	ApplyEvent(event balancer.Event, wait bool)
	// ReceiveGossip passes a message of another node to the balancer.
	ReceiveGossip(balancer.GossipReceived)
	// SetBroadcaster sets the Broadcaster for the balancer's messages to other nodes; nil removes it.
	SetBroadcaster(Broadcaster)
	// HasPredecessor reports whether another process of this node was running when this one started.
	HasPredecessor() bool
	// HasSuccessor reports whether another process is taking over from this one.
	HasSuccessor() bool
}

// Broadcaster sends the balancer's messages to the other nodes. Broadcast does not block.
type Broadcaster interface{ Broadcast(body []byte) }

// link is an instance of the cluster subsystem: it connects this node to the other members.
type link struct {
	options          Options
	node             Node
	name             string // name of this member
	log              *slog.Logger
	counters         *counters.Cluster
	acceptNetworks   []netip.Prefix
	addressOverrides map[string]netip.AddrPort // by member name

	// The following four fields are owned by the goroutine of run once the link has started.
	core     *membership.Core
	epoch    time.Time      // start of the core's time
	quota    *quotaAgent    // nil if the quota is off
	overload *overloadAgent // nil if overload control is off

	udp    *net.UDPConn // nil until the predecessor has released the address
	tcp    *net.TCPListener
	status *statusServer // nil if $TMPDIR is not set

	inbox           chan inbound
	coreCalls       chan func() // functions to run on the core's goroutine
	broadcasts      chan []byte
	outgoingStreams chan struct{}
	incomingStreams chan struct{}

	ctx         context.Context // canceled when the link stops; nil before it starts
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	loggedDrops sync.Map // drop reasons that have been logged
}

// inbound is a received message queued for the core.
type inbound struct {
	message *membership.Message
	reply   chan membership.Message // receives the reply to a SyncRequest from a stream; otherwise nil
}

// build creates a link and opens its sockets, unless a predecessor process still uses the address.
func build(host subsystem.Host, options any, previous subsystem.Instance) (subsystem.Instance, error) {
	linkOptions := *options.(*Options)
	node, ok := host.Node.(Node)
	if !ok {
		return nil, fmt.Errorf("the node of the subsystem host has type %T, want a cluster.Node", host.Node)
	}
	if previous != nil {
		return nil, errors.New("options cannot be changed at run time: turn the subsystem off with one SIGHUP and on with another, or restart the node")
	}
	l := newLink(linkOptions, node, host.Log)
	if !validName(l.name) {
		return nil, fmt.Errorf("name: the node's name %q is not a valid member name: set a valid one", l.name)
	}
	if listed, ok := linkOptions.QuotaMembers[l.name]; len(linkOptions.QuotaMembers) > 0 && (!ok || listed != linkOptions.address()) {
		return nil, fmt.Errorf("shares: this member, %s at %s, is not listed", l.name, linkOptions.address())
	}
	if err := l.openSockets(); err != nil {
		boundByPredecessor := node.HasPredecessor() && errors.Is(err, syscall.EADDRINUSE)
		if !boundByPredecessor {
			return nil, err
		}
	}
	l.quota = newQuotaAgent(l)
	l.newCore()
	return l, nil
}

func newLink(o Options, node Node, log *slog.Logger) *link {
	l := &link{
		options:          o,
		node:             node,
		name:             o.Name,
		log:              log,
		counters:         &node.Counters().Cluster,
		addressOverrides: map[string]netip.AddrPort{},
		inbox:            make(chan inbound, maxQueuedMessages),
		coreCalls:        make(chan func()),
		broadcasts:       make(chan []byte, maxQueuedBroadcasts),
		outgoingStreams:  make(chan struct{}, maxStreams),
		incomingStreams:  make(chan struct{}, maxStreams),
	}
	if l.name == "" {
		l.name = node.Name()
	}
	for name, address := range o.AddressOverrides {
		l.addressOverrides[name] = netip.MustParseAddrPort(address) // validated with the options
	}
	for _, network := range o.AcceptNetworks {
		l.acceptNetworks = append(l.acceptNetworks, netip.MustParsePrefix(network))
	}
	return l
}

// newCore creates a core without other members, and the overload agent.
func (l *link) newCore() {
	o := l.options
	l.epoch = time.Now()
	l.core = membership.New(membership.Options{
		Name:             l.name,
		Address:          o.address(),
		ClusterHash:      clusterHash(o.Cluster),
		Generation:       uint64(l.epoch.UnixMicro()), // if it is too low because the clock was set back, the core raises it
		RandSeed:         xxhash.Sum64String(l.name),
		ProbeInterval:    o.ProbeInterval.Std(),
		ProbeTimeout:     o.ProbeTimeout.Std(),
		SuspicionTimeout: o.SuspicionTimeout.Std(),
		MaxMembers:       o.MaxMembers,
		SeedAddresses:    o.Seeds,
	}, l.now())
	l.overload = newOverloadAgent(l)
}

// clusterHash returns the hash that identifies a cluster in messages.
func clusterHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// now returns the core's time. It is monotonic, so steps of the wall clock do not affect it.
func (l *link) now() time.Duration { return time.Since(l.epoch) }

// openSockets opens the UDP, TCP and status sockets. They are exclusive, so a second process of the same member on this machine fails
// here.
func (l *link) openSockets() error {
	address := netip.MustParseAddrPort(l.options.Listen) // validated with the options
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		_ = udp.Close()
		return fmt.Errorf("listen: %w", err)
	}
	status, err := listenStatus(l)
	if err != nil {
		_ = udp.Close()
		_ = tcp.Close()
		return err
	}
	l.udp = udp
	l.tcp = tcp
	l.status = status
	return nil
}

// closeSockets closes the sockets of a link that was never started.
func (l *link) closeSockets() {
	if l.udp == nil {
		return
	}
	_ = l.udp.Close()
	_ = l.tcp.Close()
	l.status.close()
}

// Start joins the cluster, once the predecessor has released the address.
func (l *link) Start(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.quota.start(l.ctx)
	if l.udp != nil {
		l.serve(l.ctx)
		return
	}
	l.log.Info("waiting for the predecessor process to release the cluster address", "code", "cluster_waits", "listen", l.options.Listen)
	l.tasks.Go(func() {
		if l.waitForAddress(l.ctx) {
			l.serve(l.ctx)
		}
	})
}

// waitForAddress retries until it has opened the sockets. It returns false if the context ends first.
func (l *link) waitForAddress(ctx context.Context) bool {
	tick := time.NewTicker(bindRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if l.openSockets() == nil {
			l.newCore() // restarts the core's time, so that the wait does not count as a pause of this process
			return true
		}
	}
}

// serve starts the goroutines of the link.
func (l *link) serve(ctx context.Context) {
	context.AfterFunc(ctx, func() { // unblocks the readers
		l.status.close() // first, since the next process to bind the address creates a file of the same name
		_ = l.tcp.Close()
	})
	l.tasks.Go(func() { l.run(ctx) })
	l.tasks.Go(func() { l.readDatagrams(ctx) })
	l.tasks.Go(func() { l.acceptStreams(ctx) })
	l.tasks.Go(func() { l.status.serve(ctx) })
	l.log.Info("cluster link started", "code", "cluster", "cluster", l.options.Cluster, "member", l.name,
		"listen", l.options.Listen, "seeds", l.options.Seeds)
}

// Stop leaves the cluster and returns after all goroutines have ended.
func (l *link) Stop() {
	if l.ctx == nil {
		l.closeSockets()
		return
	}
	l.quota.stop()
	l.overload.stop()
	l.cancel()
	l.tasks.Wait()
}
