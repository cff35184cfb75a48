package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
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

// Node is what the link needs of its node.
type Node interface {
	Name() string
	Clock() clock.Clock
	// Inform tells the module what concerns the fleet as one; with heeded it returns once that is in force.
	ApplyEvent(event balancer.Event, heeded bool)
	Classes() []balancer.Class
	// TookOver tells whether another process of this node ran when this one started, Succeeded whether one takes over now.
	TookOver() bool
	Succeeded() bool
	// Carry has the module's messages to other nodes go over the link, and with nil no longer; Hear takes theirs.
	SetBroadcaster(Broadcaster)
	ReceiveGossip(balancer.GossipReceived)
	Number() int
	Counters() *counters.Counters
}

// Teller passes the module's messages on. It does not wait.
type Broadcaster interface{ Broadcast(body []byte) }

const (
	// ticksEach period the core is called: its own sign of a standstill is a gap of one and a half periods.
	ticksEach = 5

	// inboxLen bounds the messages that wait for the core. The reader drops beyond it, as the kernel would.
	inboxLen = 512

	// packetMost is what a datagram may hold, one byte less than the buffer so that a longer one is noticed.
	packetMost = 1200

	// streamMost is what a full state may hold: 1,024 members of 200 bytes each, the longest that names and addresses allow.
	streamMost = 256 << 10

	// streams may be open in each direction; streamTime is for the whole of one. Full states are exchanged once in ten
	// seconds with one member, and with each that has been found again.
	streams, streamTime = 8, 2 * time.Second

	// bindAgain is how often a process that takes over tries to get the address, while the one before it still has it.
	bindAgain = 50 * time.Millisecond

	// wordsWaiting bounds the module's messages that wait for the core's owner.
	wordsWaiting = 64

	// againAfter the goodbye is said twice, since the first may be lost.
	againAfter = 50 * time.Millisecond
)

// link is the running subsystem.
type link struct {
	o      Options
	node   Node
	name   string
	fleet  *fleet           // owned by run; nil where shares are off
	load   *load            // likewise
	core   *membership.Core // owned by run
	udp    *net.UDPConn
	tcp    *net.TCPListener
	local  *local // nil without a place for it
	accept []netip.Prefix
	to     map[string]netip.AddrPort // addresses as seen from here
	log    *slog.Logger
	count  *counters.Cluster
	base   time.Time

	inbox   chan inbound
	asks    chan func()
	words   chan []byte     // the module's
	slots   chan struct{}   // outgoing streams
	calls   chan struct{}   // incoming ones
	running context.Context // while it runs, for what I/O it begins
	stop    context.CancelFunc
	ending  sync.WaitGroup
	logged  sync.Map // reasons of drops that the log has named
}

// inbound is a message that waits for the core.
type inbound struct {
	m     *membership.Message
	reply chan membership.Message // of a full state that came by a stream; nil else
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
	l := &link{o: o, node: node, name: o.Name, log: host.Log, count: &node.Counters().Cluster, base: time.Now(), to: map[string]netip.AddrPort{},
		inbox: make(chan inbound, inboxLen), asks: make(chan func()), words: make(chan []byte, wordsWaiting), slots: make(chan struct{}, streams), calls: make(chan struct{}, streams)}
	if l.name == "" {
		l.name = node.Name()
	}
	if !goodName(l.name) {
		return nil, fmt.Errorf("name: the node's own, %q, is none for a member; set one", l.name)
	}
	for name, a := range o.AddressOverrides {
		l.to[name] = netip.MustParseAddrPort(a) // checked
	}
	for _, n := range o.AcceptNetworks {
		l.accept = append(l.accept, netip.MustParsePrefix(n))
	}
	address := o.address()
	if at, in := o.QuotaMembers[l.name]; len(o.QuotaMembers) > 0 && (!in || at != address) {
		return nil, fmt.Errorf("shares: this member is %s at %s, which is not among them", l.name, address)
	}
	if err := l.open(); err != nil && !(node.TookOver() && errors.Is(err, syscall.EADDRINUSE)) {
		return nil, err // but for the process before this one, which still has it
	}
	l.fleet = fleetOf(l)
	l.begin(address)
	return l, nil
}

// begin makes the core, which has met nobody yet.
func (l *link) begin(address string) {
	o := l.o
	l.base = time.Now()
	start := uint64(l.base.UnixMicro()) // a later process has a higher one, unless the clock was set back: then it is told
	l.core = membership.New(membership.Options{Name: l.name, Address: address, ClusterHash: uint32(xxhash.Sum64String(o.Cluster)), Generation: start,
		RandSeed: xxhash.Sum64String(l.name), ProbeInterval: o.ProbeInterval.Std(), ProbeTimeout: o.ProbeTimeout.Std(), SuspicionTimeout: o.SuspicionTimeout.Std(), MaxMembers: o.MaxMembers,
		SeedAddresses: o.Seeds}, l.now())
	l.load = loadOf(l)
}

// open takes the sockets. They are exclusive: a second process of the same member on this machine is refused here.
func (l *link) open() error {
	at := netip.MustParseAddrPort(l.o.Listen) // checked
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		_ = udp.Close()
		return fmt.Errorf("listen: %w", err)
	}
	local, err := openLocal(l)
	if err != nil {
		_ = udp.Close()
		_ = tcp.Close()
		return err
	}
	l.udp, l.tcp, l.local = udp, tcp, local
	return nil
}

func (l *link) close() {
	if l.udp == nil {
		return
	}
	_ = l.udp.Close()
	_ = l.tcp.Close()
	l.local.close()
}

// now is the core's time. It is monotonic: a step of the machine's clock moves nothing.
func (l *link) now() time.Duration { return time.Since(l.base) }

// Start sets it going.
func (l *link) Start(ctx context.Context) {
	ctx, l.stop = context.WithCancel(ctx)
	l.running = ctx
	l.fleet.begin(ctx)
	if l.udp == nil {
		l.log.Info("waiting for the process before this one to leave the cluster's address", "code", "cluster_waits", "listen", l.o.Listen)
		l.ending.Go(func() {
			if l.wait(ctx) {
				l.work(ctx)
			}
		})
		return
	}
	l.work(ctx)
}

// wait tries until it has the sockets.
func (l *link) wait(ctx context.Context) bool {
	tick := time.NewTicker(bindAgain)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if l.open() == nil {
			l.begin(l.o.address()) // its time counts from now: waiting is no standstill
			return true
		}
	}
}

// work begins to be a member.
func (l *link) work(ctx context.Context) {
	context.AfterFunc(ctx, func() { // readers return
		l.local.close() // first: whoever gets the address next makes a file of that name
		_ = l.tcp.Close()
	})
	l.ending.Go(func() { l.run(ctx) })
	l.ending.Go(func() { l.read(ctx) })
	l.ending.Go(func() { l.answerStreams(ctx) })
	l.ending.Go(func() { l.local.run(ctx) })
	l.log.Info("among the members of a cluster", "code", "cluster", "cluster", l.o.Cluster, "member", l.name, "listen", l.o.Listen,
		"seeds", l.o.Seeds)
}

// Stop says goodbye and ends it.
func (l *link) Stop() {
	if l.running == nil {
		l.close()
		return
	}
	l.fleet.end()
	l.load.end()
	l.stop()
	l.ending.Wait()
}

// run owns the core.
func (l *link) run(ctx context.Context) {
	defer func() { _ = l.udp.Close() }()
	l.node.SetBroadcaster(l)
	defer l.node.SetBroadcaster(nil)
	tick := time.NewTicker(l.o.ProbeInterval.Std() / ticksEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.core.Tick(l.now())
			l.fleet.tick()
			l.load.tick()
		case in := <-l.inbox:
			l.hear(in)
		case ask := <-l.asks:
			ask()
		case body := <-l.words:
			l.core.SendToAll(membership.Message{Kind: membership.Broadcast, Node: uint32(l.node.Number()), Body: body})
		case <-ctx.Done():
			if l.node.Succeeded() {
				return // the member stays: the next process is it
			}
			l.core.Leave(l.now())
			out := l.carry()
			time.Sleep(againAfter)
			for _, s := range out {
				l.write(s)
			}
			return
		}
		l.carry()
	}
}

// hear hands one message to the core. The answer to a full state goes back on its stream and nowhere else.
func (l *link) hear(in inbound) {
	l.core.Receive(l.now(), in.m)
	if in.m.Kind == membership.Broadcast && len(in.m.Body) <= balancer.MaxGossipBytes {
		l.node.ReceiveGossip(balancer.GossipReceived{From: int(in.m.Node), Body: in.m.Body})
	}
	l.fleet.hear(in.m)
	l.load.hear(in.m)
	if in.reply == nil {
		return
	}
	out, notes := l.core.TakeOutput()
	l.tell(notes)
	for _, s := range out {
		if s.Stream && s.Message.Kind == membership.SyncReply {
			select {
			case in.reply <- s.Message:
			default: // there is one answer to one message
			}
			continue
		}
		l.dispatch(s)
	}
}

// carry does what the core wants done.
func (l *link) carry() []membership.OutgoingMessage {
	out, notes := l.core.TakeOutput()
	l.tell(notes)
	for _, s := range out {
		l.dispatch(s)
	}
	return out
}

func (l *link) dispatch(s membership.OutgoingMessage) {
	if s.Stream {
		l.stream(s)
		return
	}
	l.write(s)
}

// warnings are the notes that somebody should look at.
var warnings = []string{"condition", "standstill", "outdated", "full"}

func (l *link) tell(notes []membership.Event) {
	for _, n := range notes {
		args := append([]any{"code", "cluster_" + n.Code}, n.Args...)
		if n.Code == "view" {
			l.count.Views.Inc()
			l.count.Members.Set(int64(len(l.core.View().Members)))
		}
		if slices.Contains(warnings, n.Code) && (n.Code != "condition" || l.core.Connectivity().Isolated()) {
			l.log.Warn(n.Text, args...)
			continue
		}
		l.log.Info(n.Text, args...)
	}
}

// Tell passes a message of the module's on to every member in the view.
func (l *link) Broadcast(body []byte) {
	select {
	case l.words <- body:
	default:
		l.drop("words_full")
	}
}

// drop counts what is not sent or not taken; the first of each reason is logged.
func (l *link) drop(reason string) {
	l.count.Drops.Inc(reason)
	if _, known := l.logged.LoadOrStore(reason, true); !known {
		l.log.Warn("a message of the cluster was dropped, further ones are only counted", "code", "cluster_drop", "reason", reason)
	}
}

// address is where a message goes.
func (l *link) address(s membership.OutgoingMessage) (netip.AddrPort, bool) {
	if a, ok := l.to[s.To]; ok && s.To != "" {
		return a, true
	}
	a, err := netip.ParseAddrPort(s.Address)
	return a, err == nil && a.Port() != 0
}

func (l *link) write(s membership.OutgoingMessage) {
	to, ok := l.address(s)
	if !ok {
		l.drop("address")
		return
	}
	raw, err := s.Message.MarshalMsg(nil)
	if err != nil || len(raw) > packetMost {
		l.drop("too_long")
		return
	}
	if _, err := l.udp.WriteToUDPAddrPort(raw, to); err != nil {
		l.drop("write")
		return
	}
	l.count.Sent.Inc()
	l.count.SentBytes.Add(int64(len(raw)))
}

// readPause keeps an error that stays, such as a want of buffers, from taking the core.
const readPause = time.Millisecond

// read takes datagrams in until the socket is closed.
func (l *link) read(ctx context.Context) {
	buffer := make([]byte, packetMost+1)
	second, taken := l.now(), 0
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.drop("read") // such as a member's port that is closed: it concerns one datagram
			time.Sleep(readPause)
			continue
		}
		if now := l.now(); now-second >= time.Second {
			second, taken = now, 0
		}
		if taken++; taken > l.o.MaxMessageRate {
			l.drop("rate")
			continue
		}
		if n > packetMost {
			l.drop("too_long")
			continue
		}
		l.count.TakenBytes.Add(int64(n))
		if m := l.parse(buffer[:n], from.Addr()); m != nil {
			if m.Kind == membership.SyncRequest || m.Kind == membership.SyncReply || m.Kind == membership.LivenessStream {
				l.drop("not_on_a_stream")
				continue
			}
			l.post(ctx, inbound{m: m}, false)
		}
	}
}

// parse reads a message; nil where it is not to be taken.
func (l *link) parse(raw []byte, from netip.Addr) *membership.Message {
	m := &membership.Message{}
	switch rest, err := m.UnmarshalMsg(raw); {
	case !l.accepted(from):
		l.drop("network")
	case err != nil || len(rest) > 0:
		l.drop("malformed")
	case m.ClusterHash != uint32(xxhash.Sum64String(l.o.Cluster)):
		l.drop("other_cluster")
	case m.MinVersion > membership.WireVersion:
		l.drop("version")
	case m.Kind < membership.Ping || m.Kind > membership.LoadReports:
		l.drop("kind")
	case !goodName(m.From) || !sound(m):
		l.drop("malformed")
	default:
		l.count.Taken.Inc()
		return m
	}
	return nil
}

// sound tells whether the texts of a message are such as a member would send.
func sound(m *membership.Message) bool {
	for _, i := range m.Updates {
		if !goodName(i.Name) || i.Reporter != "" && !goodName(i.Reporter) || !addressForm(i.Address) {
			return false
		}
	}
	for _, i := range m.LoadReports {
		if !goodName(i.Name) {
			return false
		}
	}
	return addressForm(m.Address) && (m.Target == "" || goodName(m.Target))
}

func addressForm(s string) bool {
	if s == "" {
		return true
	}
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func (l *link) accepted(from netip.Addr) bool {
	return len(l.accept) == 0 || slices.ContainsFunc(l.accept, func(p netip.Prefix) bool { return p.Contains(from.Unmap()) })
}

// post hands a message to the core, or drops it where too many wait; a stream has a place of its own and waits.
func (l *link) post(ctx context.Context, in inbound, wait bool) bool {
	if wait {
		select {
		case l.inbox <- in:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case l.inbox <- in:
		return true
	default:
		l.drop("inbox_full")
		return false
	}
}
