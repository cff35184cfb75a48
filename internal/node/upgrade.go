package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/handover"
)

// siblingQueueSize limits the queued messages to the sibling process. The queue has space for the request
// ids of a few seconds on a busy node. If it is full, messages are dropped; a dropped request id matters
// only if a client sends the same id again, which is not expected.
const siblingQueueSize = 4096

// errEngineEnded means that the engine has stopped and its state cannot be read.
var errEngineEnded = errors.New("the engine has stopped, its state cannot be read")

// handoverState is the state that a process transfers to its successor. Its JSON names are fixed, since
// the two processes may have different versions.
type handoverState struct {
	List     discovery.List `json:"list"`
	Balancer balancer.State `json:"module"`
	Drained  bool           `json:"drained"` // the node is in an administrative drain
	// ClockZero is the predecessor's time, in Unix milliseconds, at which the machine's monotonic clock
	// was 0. It is 0 if the predecessor could not read that clock or has an earlier version.
	ClockZero float64 `json:"clock_zero_ms,omitempty"`
	// RanRequests are hashes of the ids of ended requests that may have run.
	RanRequests []uint64 `json:"ran,omitempty"`
}

// listKnown reports whether the predecessor had a list of discovery. That list may be empty: then all servers have been withdrawn.
func (t *handoverState) listKnown() bool { return t.List.Complete || len(t.List.Members) > 0 }

// adjustClock converts the times of the balancer's state to this process's clock. The clocks of the two
// processes differ if the wall clock was stepped between their starts.
func (t *handoverState) adjustClock(own clock.Clock) {
	monotonicZero, err := own.MonotonicZero()
	if t.ClockZero == 0 || err != nil {
		return // not adjusted; the balancer replaces times in the future with the current time
	}
	t.Balancer.Shift(monotonicZero - t.ClockZero)
}

// dropIncompatible drops the parts of the predecessor's state that are not valid for this process. The
// endpoint list is kept only with the same discovery address, since revisions of different discovery
// services cannot be compared. The balancer's state is kept only with the same settings, since a class
// or a tenant of the same name may be defined differently. If the predecessor sent no identity, both
// are dropped.
func (t *handoverState) dropIncompatible(predecessor, current handover.Identity) {
	if predecessor.Discovery != current.Discovery {
		t.List = discovery.List{}
	}
	if predecessor.Settings != current.Settings {
		t.Balancer = balancer.State{}
	}
}

// identity returns the identity of this process. It includes the digest of the settings, since the
// balancer's state is keyed by the names of classes, tenants and servers, and other settings may use the
// same names differently.
func identity(c *config.Config) handover.Identity {
	return handover.Identity{Name: c.Name, Discovery: c.Discovery, Settings: c.Settings.Digest}
}

// upgrade handles the handovers of a node's process: as the successor of an earlier process, and later
// as the predecessor of the next one.
type upgrade struct {
	node            *node
	limits          config.Limits
	log             *slog.Logger
	predecessorLink *handover.Successor   // nil without a predecessor
	successorLink   *handover.Predecessor // nil if no socket could be created in $TMPDIR
	outgoing        chan handover.Message // queued for the sibling process

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

// startAsSuccessor applies the predecessor's state after a handover, and shares the node's limits with
// the predecessor. It must be called before the first endpoint list arrives. Without a handover it does
// nothing.
func (u *upgrade) startAsSuccessor(state *handoverState) {
	if u.predecessorLink == nil {
		return
	}
	u.SetSibling(true)
	if state == nil {
		return
	}
	u.node.handler.AddRanRequests(state.RanRequests)
	if len(state.Balancer.Servers) > 0 {
		state.adjustClock(u.node.clock)
		u.node.transferredState.Store(&state.Balancer)
	}
	if state.Drained {
		u.node.ingress.BeginAdminDrain()
	}
}

// serve notifies the predecessor that this process serves, and starts to wait for a successor.
func (u *upgrade) serve(ctx context.Context, address string, id handover.Identity, clients *net.TCPListener) {
	defer func() { u.node.background.Go(func() { u.sendToSibling(ctx) }) }() // after both links are set
	if u.predecessorLink != nil {
		u.announceReady(ctx)
	}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	predecessor, err := handover.Listen(dir, address, id, clients, u, u.log)
	if err != nil {
		u.log.Warn("cannot listen for a successor, the next process cannot take over", "code", "handover_failed", "error", err)
		return
	}
	u.successorLink = predecessor
	u.node.background.Go(func() { predecessor.Run(ctx) })
}

func (u *upgrade) announceReady(ctx context.Context) {
	if err := u.predecessorLink.AnnounceReady(); err != nil {
		u.log.Warn("the predecessor has disconnected", "code", "handover_failed", "error", err)
		u.predecessorLink.Close()
		u.SetSibling(false)
		return
	}
	u.log.Info("serving alongside the predecessor", "code", "handover")
	u.node.handler.SetIDListener(u)
	u.node.background.Go(func() { u.receiveFromPredecessor(ctx) })
}

// receiveFromPredecessor handles the messages of the predecessor until the connection ends.
func (u *upgrade) receiveFromPredecessor(ctx context.Context) {
	stop := context.AfterFunc(ctx, u.predecessorLink.Close)
	defer stop()
	u.predecessorLink.ReceiveAll(u.HandleMessage)
	if ctx.Err() == nil {
		u.SetSibling(false)
		u.log.Info("the predecessor has ended", "code", "handover")
	}
}

// SetSibling halves the node's limits and the balancer's quotas while a second process of the node runs,
// and restores them afterwards. Otherwise the two processes together would use twice the node's limits.
func (u *upgrade) SetSibling(present bool) {
	processes := 1
	if present {
		processes = 2
	}
	u.node.memoryBudget.setProcesses(processes)
	u.node.memory.SetLimit(u.node.memoryBudget.accountLimit())
	u.node.ingress.SetMaxConns(u.node.maxConnsPerSide / processes)
	u.node.pool.SetProcessCount(processes)
	u.node.engine.Post(balancer.SiblingProcesses{Count: processes})
	if !present {
		u.successorServes.Store(false)
		u.node.ingress.SetSuccessor(false)
		u.node.handler.SetIDListener(nil)
	}
}

// State returns the state that is transferred to the successor.
func (u *upgrade) State() (json.RawMessage, error) {
	state := handoverState{
		List:        u.node.discovery.List(),
		Drained:     u.node.ingress.AdminDraining(),
		RanRequests: u.node.handler.RanRequests(),
	}
	if monotonicZero, err := u.node.clock.MonotonicZero(); err == nil {
		state.ClockZero = monotonicZero
	}
	if !u.node.engine.RunBetweenSteps(func() { state.Balancer = u.node.shadow.Snapshot() }) {
		return nil, errEngineEnded
	}
	return json.Marshal(state)
}

// SuccessorReady is called when the successor serves clients. From then on, request ids are sent to it.
func (u *upgrade) SuccessorReady() {
	u.successorServes.Store(true)
	u.node.ingress.SetSuccessor(true)
	u.node.handler.SetIDListener(u)
}

// HandleMessage handles a message of the sibling process.
func (u *upgrade) HandleMessage(m handover.Message) {
	switch {
	case m.RequestOpened != "":
		u.node.handler.OpenSiblingRequest(m.RequestOpened)
	case m.RequestClosed != "":
		u.node.handler.CloseSiblingRequest(m.RequestClosed, !m.NotRun)
	case len(m.RequestsRan) > 0:
		u.node.handler.AddRanRequests(m.RequestsRan)
	case m.Drained != nil && *m.Drained:
		u.node.ingress.BeginAdminDrain()
	case m.Drained != nil:
		u.node.ingress.EndAdminDrain()
	}
}

// RequestOpened implements proxy.IDListener.
func (u *upgrade) RequestOpened(id string) { u.enqueue(handover.Message{RequestOpened: id}) }

// RequestClosed implements proxy.IDListener.
func (u *upgrade) RequestClosed(id string, ran bool) {
	u.enqueue(handover.Message{RequestClosed: id, NotRun: !ran})
}

// RequestsRan implements proxy.IDListener.
func (u *upgrade) RequestsRan(hashes []uint64) {
	if len(hashes) > 0 {
		u.enqueue(handover.Message{RequestsRan: hashes})
	}
}

// sendDrain notifies the sibling process that an administrative drain began or ended, since the drain
// applies to both processes of the node.
func (u *upgrade) sendDrain(draining bool) { u.enqueue(handover.Message{Drained: &draining}) }

func (u *upgrade) enqueue(m handover.Message) {
	select {
	case u.outgoing <- m:
	default:
		u.node.counters.Handover.Dropped.Inc()
	}
}

// sendToSibling sends the queued messages to the successor or, without one, to the predecessor. If there
// is neither, the messages are discarded. Send errors are ignored, since the goroutine that reads from
// the link detects that the other process has ended.
func (u *upgrade) sendToSibling(ctx context.Context) {
	for {
		select {
		case m := <-u.outgoing:
			sentToSuccessor := u.successorLink != nil && u.successorLink.Send(m) == nil
			if !sentToSuccessor && u.predecessorLink != nil {
				_ = u.predecessorLink.Send(m)
			}
		case <-ctx.Done():
			return
		}
	}
}
