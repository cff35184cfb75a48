package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

type recorder chan balancer.GossipReceived

func (r recorder) ReceiveGossip(m balancer.GossipReceived) { r <- m }

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// A message is delivered with its sender's node number. A message from an unknown address, or with a wrong size or node number, is
// dropped and counted.
func TestReceiveAcceptsOnlyValidMessagesOfNodes(t *testing.T) {
	nodes := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)} // the third does not run
	received, counts := make(recorder, 8), &counters.Gossip{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transports := []*Transport{}
	for i := range 2 {
		transport, err := Listen(Options{Node: i, Nodes: nodes, Receiver: received, Log: slog.Default(), Counters: counts})
		if err != nil {
			t.Fatal(err)
		}
		transports = append(transports, transport)
		go transport.Run(ctx)
	}
	transports[0].Broadcast([]byte("hello"))
	select {
	case m := <-received:
		if m.From != 0 || string(m.Body) != "hello" {
			t.Errorf("received %+v, want body %q from node 0", m, "hello")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("received no message within 10 s")
	}
	unknownSender, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(nodes[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	_, _ = unknownSender.Write([]byte("\x00\x00\x00\x00news"))
	for end := time.Now().Add(10 * time.Second); counts.Drops.Get("stranger") != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("messages dropped from unknown senders = %d, want 1", counts.Drops.Get("stranger"))
		}
	}
	for reason, message := range map[string][]byte{"size": {0, 0, 0, 0}, "number": {0, 0, 0, 7, 1}} {
		if transports[1].receive(message, nodes[0]); counts.Drops.Get(reason) != 1 {
			t.Errorf("messages dropped for reason %q = %d, want 1", reason, counts.Drops.Get(reason))
		}
	}
	if len(received) > 0 {
		t.Errorf("received invalid message %+v", <-received)
	}
}

// The engine calls Broadcast and must not block on the network. If nothing empties the queue, further messages are dropped.
func TestBroadcastDropsMessagesIfQueueIsFull(t *testing.T) {
	counts := &counters.Gossip{}
	transport, err := Listen(Options{Node: 0, Nodes: []netip.AddrPort{freeAddress(t), freeAddress(t)}, Receiver: make(recorder),
		Log: slog.Default(), Counters: counts})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.conn.Close()
	for range sendQueueLen + 3 { // Run is not called, so the queue is not emptied
		transport.Broadcast([]byte("x"))
	}
	if transport.Broadcast(make([]byte, balancer.MaxGossipBytes+1)); counts.Drops.Get("queue_full") != 3 || counts.Drops.Get("too_long") != 1 {
		t.Errorf("drops by queue_full = %d, want 3; by too_long = %d, want 1", counts.Drops.Get("queue_full"), counts.Drops.Get("too_long"))
	}
}
