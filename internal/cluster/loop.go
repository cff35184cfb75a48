package cluster

import (
	"context"
	"slices"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
)

const (
	// ticksPerInterval is how often the core is called in a probe interval. It takes a gap of one and a half intervals for a
	// pause of this process.
	ticksPerInterval = 5

	// leaveRepeatDelay passes before the leaving is announced a second time, since the first messages may be lost.
	leaveRepeatDelay = 50 * time.Millisecond
)

// run owns the core until the context ends.
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
		case call := <-l.calls:
			call()
		case body := <-l.broadcasts:
			l.core.SendToAll(membership.Message{Kind: membership.Broadcast, Node: uint32(l.node.Number()), Body: body})
		case <-ctx.Done():
			if !l.node.HasSuccessor() { // otherwise the member stays, with the next process
				l.leave()
			}
			return
		}
		l.flush()
	}
}

// leave announces twice that this member leaves.
func (l *link) leave() {
	l.core.Leave(l.now())
	sent := l.flush()
	time.Sleep(leaveRepeatDelay)
	for _, out := range sent {
		l.writeDatagram(out)
	}
}

// receive hands one message to the core and the agents. The answer to a SyncRequest goes back on its stream and nowhere else.
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
		default: // there is one answer to one message
		}
	}
}

// flush sends and logs what the core has put out, and returns what was sent.
func (l *link) flush() []membership.OutgoingMessage {
	outgoing, events := l.core.TakeOutput()
	l.logEvents(events)
	for _, out := range outgoing {
		l.send(out)
	}
	return outgoing
}

func (l *link) send(out membership.OutgoingMessage) {
	if out.Stream {
		l.startSync(out)
		return
	}
	l.writeDatagram(out)
}

// warnings are the events that somebody should look at; of changes of the connectivity only those to an isolated state.
var warnings = []membership.EventCode{membership.EventConnectivity, membership.EventPause, membership.EventSuperseded, membership.EventFull}

func (l *link) logEvents(events []membership.Event) {
	for _, e := range events {
		if e.Code == membership.EventView {
			l.counters.Views.Inc()
			l.counters.Members.Set(int64(len(l.core.View().Members)))
		}
		args := append([]any{"code", "cluster_" + string(e.Code)}, e.Args...)
		recovered := e.Code == membership.EventConnectivity && !l.core.Connectivity().Isolated()
		if slices.Contains(warnings, e.Code) && !recovered {
			l.log.Warn(e.Text, args...)
			continue
		}
		l.log.Info(e.Text, args...)
	}
}

// Broadcast sends a message of the balancer's to every member of the view. It does not wait.
func (l *link) Broadcast(body []byte) {
	select {
	case l.broadcasts <- body:
	default:
		l.drop(dropBroadcastsFull)
	}
}
