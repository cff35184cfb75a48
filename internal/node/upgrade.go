package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/handover"
	"tackhub.example/tackhub/internal/ingress"
)

// tellQueue bounds the messages to the other process that wait: some seconds of a busy node's ids. Beyond it they are
// dropped; an id that is then not known there is one that no client sends twice.
const tellQueue = 4096

// legacy is what a process hands to the next.
type legacy struct {
	List    discovery.List `json:"list"`
	Module  balancer.State `json:"module"`
	Drained bool           `json:"drained"`
}

// upgrade is a node's part in the change from one process to the next. It is the node as either side of the handover
// sees it.
type upgrade struct {
	n      *node
	limits config.Limits
	log    *slog.Logger
	heir   *handover.Successor   // of the process before this one; nil at a plain start
	keeper *handover.Predecessor // for the next; nil where $TMPDIR has no place for it
	out    chan handover.Message

	succeeded atomic.Bool // the next process serves
}

// identity is whose process this is. Everything that is held by a class's, a tenant's or a server's name is the settings'.
func identity(c *config.Config) handover.Identity {
	return handover.Identity{Name: c.Name, Discovery: c.Discovery, Settings: c.Settings.Digest}
}

// keepFor leaves of what the process before knew what is this one's as well. The list goes with its discovery, where
// revisions compare; the module's records with the settings, since a class or a tenant of the same name need not be the
// same. One that does not say who it is has neither known.
func (l *legacy) keepFor(before, now handover.Identity) {
	if before.Discovery != now.Discovery {
		l.List = discovery.List{}
	}
	if before.Settings != now.Settings {
		l.Module = balancer.State{}
	}
}

// takeOver gets the clients' listener: from the process that serves, where there is one, else anew. What the process
// before told of the list replaces what the configuration knows.
func takeOver(c *config.Config, log *slog.Logger) (*net.TCPListener, *handover.Successor, *legacy, error) {
	who := identity(c)
	heir, err := fromOld(c.Listen, who)
	if err == nil {
		holdSilentBack(heir.Listener, log)
		from := &legacy{}
		raw, serr := heir.RequestState()
		if serr == nil {
			serr = json.Unmarshal(raw, from)
		}
		if serr != nil { // it may start without: the listener is what clients need
			log.Warn("the process before told nothing that can be read", "code", "handover_failed", "error", serr)
			return heir.Listener, heir, nil, nil
		}
		if from.keepFor(heir.PredecessorIdentity, who); heir.PredecessorIdentity != who {
			log.Warn("the process before has other settings or another discovery: what hangs on them is not taken over",
				"code", "handover_part", "list", len(from.List.Members) > 0, "records", len(from.Module.Servers) > 0)
		}
		if len(from.List.Members) > 0 {
			c.Known = from.List
		}
		return heir.Listener, heir, from, nil
	}
	if errors.Is(err, handover.ErrOtherNode) { // nor may the address be shared with it
		return nil, nil, nil, fmt.Errorf("ROUTER_LISTEN: %s: %w", c.Listen, err)
	}
	if !errors.Is(err, handover.ErrNoPredecessor) {
		log.Warn("nothing can be taken over, starting plainly", "code", "handover_failed", "error", err)
	}
	l, err := listen(c.Listen, !errors.Is(err, handover.ErrNoPredecessor) && !errors.Is(err, handover.ErrPredecessorGone))
	return l, nil, nil, err
}

// holdSilentBack has the kernel hold silent connections back from a listener that was taken over: a process that is ending has
// told it not to.
func holdSilentBack(l *net.TCPListener, log *slog.Logger) {
	raw, err := l.SyscallConn()
	if err == nil {
		err = ingress.DeferAccept("tcp", l.Addr().String(), raw)
	}
	if err != nil {
		log.Warn("silent connections are not held back by the kernel", "code", "defer_accept", "error", err)
	}
}

func fromOld(address string, who handover.Identity) (*handover.Successor, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return nil, handover.ErrNoPredecessor
	}
	return handover.TakeOver(dir, address, who)
}

// listen opens the clients' address. Beside a process that cannot hand over, both listen there for a while; without a
// sign of one an address in use is somebody else's.
func listen(address string, beside bool) (*net.TCPListener, error) {
	if !beside {
		probe, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
		}
		address = probe.Addr().String() // port 0 stays what it became
		if err := probe.Close(); err != nil {
			return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
		}
	}
	config := net.ListenConfig{Control: func(network, address string, raw syscall.RawConn) error {
		var err error
		cerr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(cerr, err, ingress.DeferAccept(network, address, raw))
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("ROUTER_LISTEN: %s gives no TCP listener", address)
	}
	return tcp, nil
}

// begin has the node be one of two processes, where it has taken over, before it hears of the list.
func (u *upgrade) begin(from *legacy) {
	if u.heir == nil {
		return
	}
	u.SetSibling(true)
	if from == nil {
		return
	}
	if len(from.Module.Servers) > 0 {
		u.n.legacy.Store(&from.Module)
	}
	if from.Drained {
		u.n.ingress.BeginAdminDrain()
	}
}

// serve tells the process before that this one serves, and waits for the next.
func (u *upgrade) serve(ctx context.Context, address string, who handover.Identity, clients *net.TCPListener) {
	defer func() { u.n.ending.Go(func() { u.tell(ctx) }) }() // once both sides are known
	if u.heir != nil {
		if err := u.heir.AnnounceReady(); err != nil {
			u.log.Warn("the process before has gone", "code", "handover_failed", "error", err)
			u.heir.Close()
			u.SetSibling(false)
		} else {
			u.log.Info("serving beside the process before", "code", "handover")
			u.n.desk.PublishRequestIDs(u.tellID)
			u.n.ending.Go(func() { u.hear(ctx) })
		}
	}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	keeper, err := handover.Listen(dir, address, who, clients, u, u.log)
	if err != nil {
		u.log.Warn("the next version will not be able to take over", "code", "handover_failed", "error", err)
		return
	}
	u.keeper = keeper
	u.n.ending.Go(func() { keeper.Run(ctx) })
}

// hear takes the old process's messages until it has gone.
func (u *upgrade) hear(ctx context.Context) {
	stop := context.AfterFunc(ctx, u.heir.Close)
	defer stop()
	u.heir.ReceiveAll(u.HandleMessage)
	if ctx.Err() == nil {
		u.SetSibling(false)
		u.log.Info("the process before has ended", "code", "handover")
	}
}

// Beside shares the node's limits and the module's parts with a second process, or has them whole again.
func (u *upgrade) SetSibling(on bool) {
	processes := 1
	if on {
		processes = 2
	}
	debug.SetMemoryLimit(memoryLimit(u.limits) / int64(processes))
	u.n.ingress.SetMaxConns(u.n.each / processes)
	u.n.pool.SetProcessCount(processes)
	u.n.engine.Post(balancer.SiblingProcesses{Count: processes})
	if !on {
		u.succeeded.Store(false)
		u.n.ingress.SetSuccessor(false)
		u.n.desk.PublishRequestIDs(nil)
	}
}

// State is what the next process gets.
func (u *upgrade) State() (json.RawMessage, error) {
	l := legacy{List: u.n.catalog.List(), Drained: u.n.ingress.AdminDrained()}
	if !u.n.engine.RunBetweenSteps(func() { l.Module = u.n.watch.Snapshot() }) {
		return nil, errors.New("the engine has ended")
	}
	return json.Marshal(l)
}

// Succeeded says that the next process serves.
func (u *upgrade) SuccessorReady() {
	u.succeeded.Store(true)
	u.n.ingress.SetSuccessor(true)
	u.n.desk.PublishRequestIDs(u.tellID)
}

// Hear takes what the other process tells.
func (u *upgrade) HandleMessage(m handover.Message) {
	switch {
	case m.RequestOpened != "":
		u.n.desk.TrackSiblingRequestID(m.RequestOpened, true)
	case m.RequestClosed != "":
		u.n.desk.TrackSiblingRequestID(m.RequestClosed, false)
	case m.Drained != nil && *m.Drained:
		u.n.ingress.BeginAdminDrain()
	case m.Drained != nil:
		u.n.ingress.EndAdminDrain()
	}
}

// tellID queues an id for the other process. It does not wait.
func (u *upgrade) tellID(id string, open bool) {
	m := handover.Message{RequestClosed: id}
	if open {
		m = handover.Message{RequestOpened: id}
	}
	u.queue(m)
}

// tellDrain lets the other process know what staff said here: they speak of the node.
func (u *upgrade) tellDrain(on bool) { u.queue(handover.Message{Drained: &on}) }

func (u *upgrade) queue(m handover.Message) {
	select {
	case u.out <- m:
	default:
		u.n.count.Handover.Dropped.Inc()
	}
}

// tell passes messages on to whichever process is beside this one.
func (u *upgrade) tell(ctx context.Context) {
	for {
		select {
		case m := <-u.out:
			// Without anyone there it reaches nobody; one that is ending is noticed by its reader.
			if u.keeper != nil && u.keeper.Send(m) == nil || u.heir == nil {
				continue
			}
			_ = u.heir.Send(m)
		case <-ctx.Done():
			return
		}
	}
}
