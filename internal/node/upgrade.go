package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/handover"
)

// siblingQueueSize bounds the messages to the other process that wait: some seconds of a busy
// node's request ids. Beyond it they are dropped; an id that is then not known there is one that no
// client sends twice.
const siblingQueueSize = 4096

// errEngineEnded says that the state can't be read any more.
var errEngineEnded = errors.New("the engine has ended")

// transferredNode is what a process hands over to the next. The JSON names are the form between
// versions.
type transferredNode struct {
	List     discovery.List `json:"list"`
	Balancer balancer.State `json:"module"`
	Drained  bool           `json:"drained"` // by an administrator
	// ClockZero is the node's time at which the machine's monotonic clock began. 0: an earlier version, or not known.
	ClockZero float64 `json:"clock_zero_ms,omitempty"`
}

// adjustClock moves the times of the balancer's state to this process's clock, which is another one where the wall clock was stepped
// between the two processes' starts.
func (t *transferredNode) adjustClock(own clock.Clock) {
	zero, err := own.MonotonicZero()
	if t.ClockZero == 0 || err != nil {
		return // the balancer takes no time of the future over
	}
	t.Balancer.Shift(zero - t.ClockZero)
}

// dropIncompatible leaves of what the predecessor knew what holds for this one as well. The list
// goes with its discovery, where revisions compare; the balancer's records go with the settings,
// since a class or a tenant of the same name need not be the same. A process that doesn't say who
// it is leaves neither.
func (t *transferredNode) dropIncompatible(before, now handover.Identity) {
	if before.Discovery != now.Discovery {
		t.List = discovery.List{}
	}
	if before.Settings != now.Settings {
		t.Balancer = balancer.State{}
	}
}

// identity is whose process this is. Everything that is held by a class's, a tenant's or a server's
// name is the settings'.
func identity(c *config.Config) handover.Identity {
	return handover.Identity{Name: c.Name, Discovery: c.Discovery, Settings: c.Settings.Digest}
}

// upgrade is a node's part in the change from one process to the next. It may be the successor of
// the predecessor, and the predecessor of the next.
type upgrade struct {
	node            *node
	limits          config.Limits
	log             *slog.Logger
	predecessorLink *handover.Successor   // nil at a plain start
	successorLink   *handover.Predecessor // nil where $TMPDIR has no place for it
	outgoing        chan handover.Message // to the other process

	successorServes atomic.Bool
}

func newUpgrade(n *node, limits config.Limits, asSuccessor *handover.Successor, log *slog.Logger) *upgrade {
	return &upgrade{
		node:            n,
		limits:          limits,
		log:             log,
		predecessorLink: asSuccessor,
		outgoing:        make(chan handover.Message, siblingQueueSize),
	}
}

// begin makes the node one of two processes, where it has taken over, before it hears of the
// endpoint list.
func (u *upgrade) begin(state *transferredNode) {
	if u.predecessorLink == nil {
		return
	}
	u.SetSibling(true)
	if state == nil {
		return
	}
	if len(state.Balancer.Servers) > 0 {
		state.adjustClock(u.node.clock)
		u.node.transferredState.Store(&state.Balancer)
	}
	if state.Drained {
		u.node.ingress.BeginAdminDrain()
	}
}

// serve tells the predecessor that this one serves, and waits for the successor.
func (u *upgrade) serve(ctx context.Context, address string, id handover.Identity, clients *net.TCPListener) {
	defer func() { u.node.background.Go(func() { u.sendToSibling(ctx) }) }() // once both sides are known
	if u.predecessorLink != nil {
		u.announceReady(ctx)
	}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	predecessor, err := handover.Listen(dir, address, id, clients, u, u.log)
	if err != nil {
		u.log.Warn("the next version will not be able to take over", "code", "handover_failed", "error", err)
		return
	}
	u.successorLink = predecessor
	u.node.background.Go(func() { predecessor.Run(ctx) })
}

func (u *upgrade) announceReady(ctx context.Context) {
	if err := u.predecessorLink.AnnounceReady(); err != nil {
		u.log.Warn("the predecessor has gone", "code", "handover_failed", "error", err)
		u.predecessorLink.Close()
		u.SetSibling(false)
		return
	}
	u.log.Info("serving beside the predecessor", "code", "handover")
	u.node.handler.PublishRequestIDs(u.sendRequestID)
	u.node.background.Go(func() { u.receiveFromPredecessor(ctx) })
}

// receiveFromPredecessor handles the messages of the predecessor until it has gone.
func (u *upgrade) receiveFromPredecessor(ctx context.Context) {
	stop := context.AfterFunc(ctx, u.predecessorLink.Close)
	defer stop()
	u.predecessorLink.ReceiveAll(u.HandleMessage)
	if ctx.Err() == nil {
		u.SetSibling(false)
		u.log.Info("the predecessor has ended", "code", "handover")
	}
}

// SetSibling shares the node's limits and the balancer's parts with a second process, or has them
// whole again. Two processes that each used the whole would together use twice what the node may.
func (u *upgrade) SetSibling(on bool) {
	processes := 1
	if on {
		processes = 2
	}
	debug.SetMemoryLimit(memoryLimit(u.limits) / int64(processes))
	u.node.ingress.SetMaxConns(u.node.maxConnsPerSide / processes)
	u.node.pool.SetProcessCount(processes)
	u.node.engine.Post(balancer.SiblingProcesses{Count: processes})
	if !on {
		u.successorServes.Store(false)
		u.node.ingress.SetSuccessor(false)
		u.node.handler.PublishRequestIDs(nil)
	}
}

// State is what the successor gets.
func (u *upgrade) State() (json.RawMessage, error) {
	state := transferredNode{List: u.node.discovery.List(), Drained: u.node.ingress.AdminDraining()}
	if zero, err := u.node.clock.MonotonicZero(); err == nil {
		state.ClockZero = zero
	}
	if !u.node.engine.RunBetweenSteps(func() { state.Balancer = u.node.shadow.Snapshot() }) {
		return nil, errEngineEnded
	}
	return json.Marshal(state)
}

// SuccessorReady says that the successor serves.
func (u *upgrade) SuccessorReady() {
	u.successorServes.Store(true)
	u.node.ingress.SetSuccessor(true)
	u.node.handler.PublishRequestIDs(u.sendRequestID)
}

// HandleMessage handles a message of the other process.
func (u *upgrade) HandleMessage(m handover.Message) {
	switch {
	case m.RequestOpened != "":
		u.node.handler.TrackSiblingRequestID(m.RequestOpened, true)
	case m.RequestClosed != "":
		u.node.handler.TrackSiblingRequestID(m.RequestClosed, false)
	case m.Drained != nil && *m.Drained:
		u.node.ingress.BeginAdminDrain()
	case m.Drained != nil:
		u.node.ingress.EndAdminDrain()
	}
}

// sendRequestID queues a request's id for the other process. It does not wait.
func (u *upgrade) sendRequestID(id string, open bool) {
	if open {
		u.enqueue(handover.Message{RequestOpened: id})
	} else {
		u.enqueue(handover.Message{RequestClosed: id})
	}
}

// sendDrain tells the other process of an administrator's drain, which is of the node.
func (u *upgrade) sendDrain(on bool) { u.enqueue(handover.Message{Drained: &on}) }

func (u *upgrade) enqueue(m handover.Message) {
	select {
	case u.outgoing <- m:
	default:
		u.node.counters.Handover.Dropped.Inc()
	}
}

// sendToSibling sends the queued messages to the successor, or else to the one before. Without
// either they reach nobody; one that is ending is noticed by its reader.
func (u *upgrade) sendToSibling(ctx context.Context) {
	for {
		select {
		case m := <-u.outgoing:
			sentToNext := u.successorLink != nil && u.successorLink.Send(m) == nil
			if !sentToNext && u.predecessorLink != nil {
				_ = u.predecessorLink.Send(m)
			}
		case <-ctx.Done():
			return
		}
	}
}
