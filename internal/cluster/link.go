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
	// inboxLen bounds the messages that wait for the core. Further ones are dropped, as the kernel would.
	inboxLen = 512

	// maxQueuedBroadcasts bounds the balancer's messages that wait for the core.
	maxQueuedBroadcasts = 64

	// bindRetryInterval is how often a process that takes over tries to get the address which its predecessor still has.
	bindRetryInterval = 50 * time.Millisecond
)

// Node is what the link needs of its node.
type Node interface {
	Name() string
	Number() int
	Clock() clock.Clock
	Counters() *counters.Counters
	// Classes are the request classes of the settings.
	Classes() []balancer.Class
	// ApplyEvent hands the balancer an event; with wait it returns once the event is in force.
	ApplyEvent(event balancer.Event, wait bool)
	// ReceiveGossip hands the balancer another node's message.
	ReceiveGossip(balancer.GossipReceived)
	// SetBroadcaster has the balancer's messages to other nodes go over a Broadcaster; nil: no longer.
	SetBroadcaster(Broadcaster)
	// HasPredecessor reports whether another process of this node ran when this one started.
	HasPredecessor() bool
	// HasSuccessor reports whether another process is taking over from this one.
	HasSuccessor() bool
}

// Broadcaster sends the balancer's messages to the other nodes. It does not wait.
type Broadcaster interface{ Broadcast(body []byte) }

// link is the running subsystem.
type link struct {
	options          Options
	node             Node
	name             string // of this member
	log              *slog.Logger
	counters         *counters.Cluster
	acceptNetworks   []netip.Prefix
	addressOverrides map[string]netip.AddrPort // by member

	// Owned by run once the link has started.
	core     *membership.Core
	epoch    time.Time      // the core's time counts from here
	quota    *quotaAgent    // nil where the quota is off
	overload *overloadAgent // nil where overload control is off

	udp    *net.UDPConn // nil while the predecessor has the address
	tcp    *net.TCPListener
	status *statusServer // nil without a place for its socket

	inbox           chan inbound
	calls           chan func() // to be run by the core's owner
	broadcasts      chan []byte
	outgoingStreams chan struct{}
	incomingStreams chan struct{}

	ctx         context.Context // while the link runs; nil before
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	loggedDrops sync.Map // reasons that have been logged
}

// inbound is a message that waits for the core.
type inbound struct {
	message *membership.Message
	reply   chan membership.Message // for the answer to a SyncRequest that came on a stream; otherwise nil
}

func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	o := *options.(*Options)
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("the host has no node")
	}
	if old != nil {
		return nil, errors.New("it cannot be changed while it runs: turn it off by one SIGHUP and on by another, or restart the node")
	}
	l := newLink(o, node, host.Log)
	if !validName(l.name) {
		return nil, fmt.Errorf("name: the node's own, %q, is none for a member; set one", l.name)
	}
	if listed, ok := o.QuotaMembers[l.name]; len(o.QuotaMembers) > 0 && (!ok || listed != o.address()) {
		return nil, fmt.Errorf("shares: this member is %s at %s, which is not among them", l.name, o.address())
	}
	if err := l.open(); err != nil {
		predecessorHasIt := node.HasPredecessor() && errors.Is(err, syscall.EADDRINUSE)
		if !predecessorHasIt {
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
		inbox:            make(chan inbound, inboxLen),
		calls:            make(chan func()),
		broadcasts:       make(chan []byte, maxQueuedBroadcasts),
		outgoingStreams:  make(chan struct{}, maxStreams),
		incomingStreams:  make(chan struct{}, maxStreams),
	}
	if l.name == "" {
		l.name = node.Name()
	}
	for name, address := range o.AddressOverrides {
		l.addressOverrides[name] = netip.MustParseAddrPort(address) // checked with the options
	}
	for _, network := range o.AcceptNetworks {
		l.acceptNetworks = append(l.acceptNetworks, netip.MustParsePrefix(network))
	}
	return l
}

// newCore makes a core that has met nobody yet.
func (l *link) newCore() {
	o := l.options
	l.epoch = time.Now()
	l.core = membership.New(membership.Options{
		Name:             l.name,
		Address:          o.address(),
		ClusterHash:      clusterHash(o.Cluster),
		Generation:       uint64(l.epoch.UnixMicro()), // the core mends one that is too low since the clock was set back
		RandSeed:         xxhash.Sum64String(l.name),
		ProbeInterval:    o.ProbeInterval.Std(),
		ProbeTimeout:     o.ProbeTimeout.Std(),
		SuspicionTimeout: o.SuspicionTimeout.Std(),
		MaxMembers:       o.MaxMembers,
		SeedAddresses:    o.Seeds,
	}, l.now())
	l.overload = newOverloadAgent(l)
}

// clusterHash stands for a cluster's name in messages.
func clusterHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// now is the core's time. It is monotonic: a step of the wall clock changes nothing.
func (l *link) now() time.Duration { return time.Since(l.epoch) }

// open takes the sockets. They are exclusive, so that a second process of the same member on this machine fails here.
func (l *link) open() error {
	address := netip.MustParseAddrPort(l.options.Listen) // checked with the options
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

// close gives the sockets of a link back that was never started.
func (l *link) close() {
	if l.udp == nil {
		return
	}
	_ = l.udp.Close()
	_ = l.tcp.Close()
	l.status.close()
}

// Start begins to take part in the cluster, once the predecessor has released the address.
func (l *link) Start(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.quota.start(l.ctx)
	if l.udp != nil {
		l.serve(l.ctx)
		return
	}
	l.log.Info("waiting for the predecessor to release the cluster's address", "code", "cluster_waits", "listen", l.options.Listen)
	l.tasks.Go(func() {
		if l.waitForAddress(l.ctx) {
			l.serve(l.ctx)
		}
	})
}

// waitForAddress tries until it has the sockets, and reports whether it got them before the link ended.
func (l *link) waitForAddress(ctx context.Context) bool {
	tick := time.NewTicker(bindRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if l.open() == nil {
			l.newCore() // its time counts from now, since the wait is no pause of this process
			return true
		}
	}
}

// serve starts the goroutines.
func (l *link) serve(ctx context.Context) {
	context.AfterFunc(ctx, func() { // so that blocked readers return
		l.status.close() // first: whoever gets the address next makes a file of the same name
		_ = l.tcp.Close()
	})
	l.tasks.Go(func() { l.run(ctx) })
	l.tasks.Go(func() { l.readDatagrams(ctx) })
	l.tasks.Go(func() { l.acceptStreams(ctx) })
	l.tasks.Go(func() { l.status.serve(ctx) })
	l.log.Info("taking part in the cluster", "code", "cluster", "cluster", l.options.Cluster, "member", l.name,
		"listen", l.options.Listen, "seeds", l.options.Seeds)
}

// Stop leaves the cluster, and returns once all goroutines have ended.
func (l *link) Stop() {
	if l.ctx == nil {
		l.close()
		return
	}
	l.quota.stop()
	l.overload.stop()
	l.cancel()
	l.tasks.Wait()
}
