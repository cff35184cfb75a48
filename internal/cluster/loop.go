package cluster

import (
	"context"
	"slices"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
)

const (
	// ticksPerInterval is the number of calls of the core's Tick per probe interval. The core treats a gap of 1.5 intervals as a
	// pause of this process.
	ticksPerInterval = 5

	// leaveRepeatDelay is the delay before the leave messages are sent a second time, since the first ones may be lost.
	leaveRepeatDelay = 50 * time.Millisecond
)

// run is the event loop that makes all calls to the core, until the context ends.
func (l *link) run(ctx context.Context) {
	defer func() { _ = l.udp.Close() }()
	l.node.SetBroadcaster(l)
	defer l.node.SetBroadcaster(nil)
	tick := time.NewTicker(l.options.ProbeInterval.Std() / ticksPerInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.core.Tick(l.now())
			l.quota.tick()
			l.overload.tick()
		case in := <-l.inbox:
			l.receive(in)
		case call := <-l.coreCalls:
			call()
		case body := <-l.broadcasts:
			l.core.SendToAll(membership.Message{Kind: membership.Broadcast, Node: uint32(l.node.Number()), Body: body})
		case <-ctx.Done():
			if !l.node.HasSuccessor() { // with a successor the member stays in the cluster
				l.leave()
			}
			return
		}
		l.flush()
	}
}

// leave announces twice that this member leaves the cluster.
func (l *link) leave() {
	l.core.Leave(l.now())
	sent := l.flush()
	time.Sleep(leaveRepeatDelay)
	for _, out := range sent {
		l.writeDatagram(out)
	}
}

// receive passes one message to the core and the agents. A SyncReply is sent only on the stream of its SyncRequest.
func (l *link) receive(in inbound) {
	m := in.message
	l.core.Receive(l.now(), m)
	if m.Kind == membership.Broadcast && len(m.Body) <= balancer.MaxGossipBytes {
		l.node.ReceiveGossip(balancer.GossipReceived{From: int(m.Node), Body: m.Body})
	}
	l.quota.receive(m)
	l.overload.receive(m)
	if in.reply == nil {
		return
	}
	outgoing, events := l.core.TakeOutput()
	l.logEvents(events)
	for _, out := range outgoing {
		if !out.Stream || out.Message.Kind != membership.SyncReply {
			l.send(out)
			continue
		}
		select {
		case in.reply <- out.Message:
		default: // the channel already contains a reply; only one is sent per request
		}
	}
}

// flush sends the pending messages of the core and logs its events. It returns the messages.
func (l *link) flush() []membership.OutgoingMessage {
	outgoing, events := l.core.TakeOutput()
	l.logEvents(events)
	for _, out := range outgoing {
		l.send(out)
	}
	return outgoing
}

// send sends a message as a datagram, or starts an exchange of full states on a stream.
func (l *link) send(out membership.OutgoingMessage) {
	if out.Stream {
		l.startSync(out)
		return
	}
	l.writeDatagram(out)
}

// warningEvents are the events that are logged as warnings. A change of the connectivity is a warning only if this process is now
// isolated.
var warningEvents = []membership.EventCode{
	membership.EventConnectivity, membership.EventPause, membership.EventSuperseded, membership.EventTableFull,
}

// logEvents logs the core's events, and updates the counters when the view has changed.
func (l *link) logEvents(events []membership.Event) {
	for _, e := range events {
		if e.Code == membership.EventView {
			l.counters.Views.Inc()
			l.counters.Members.Set(int64(len(l.core.View().Members)))
		}
		args := append([]any{"code", "cluster_" + string(e.Code)}, e.Args...)
		recovered := e.Code == membership.EventConnectivity && !l.core.Connectivity().Isolated()
		if slices.Contains(warningEvents, e.Code) && !recovered {
			l.log.Warn(e.Text, args...)
			continue
		}
		l.log.Info(e.Text, args...)
	}
}

// Broadcast queues a message of the balancer for all members in the view. It does not block; it drops the message if the queue is full.
func (l *link) Broadcast(body []byte) {
	select {
	case l.broadcasts <- body:
	default:
		l.drop(dropBroadcastsFull)
	}
}
