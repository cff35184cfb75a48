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

// freeAddress returns an address on loopback that nobody uses.
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

// A message reaches the other node under its sender's number. One from an address that is no node's, or with a wrong size or number,
// is dropped and counted.
func TestNodesHearOneAnotherAndNoStranger(t *testing.T) {
	nodes := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)} // the third is down
	heard, count := make(recorder, 8), &counters.Gossip{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transports := []*Transport{}
	for i := range 2 {
		l, err := Listen(Options{Node: i, Nodes: nodes, Receiver: heard, Log: slog.Default(), Counters: count})
		if err != nil {
			t.Fatal(err)
		}
		transports = append(transports, l)
		go l.Run(ctx)
	}
	transports[0].Broadcast([]byte("hello"))
	select {
	case m := <-heard:
		if m.From != 0 || string(m.Body) != "hello" {
			t.Errorf("heard %+v", m)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing heard")
	}
	stranger, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(nodes[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	_, _ = stranger.Write([]byte("\x00\x00\x00\x00news"))
	for end := time.Now().Add(10 * time.Second); count.Drops.Get("stranger") != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stranger is not counted")
		}
	}
	for reason, message := range map[string][]byte{"size": {0, 0, 0, 0}, "number": {0, 0, 0, 7, 1}} {
		if transports[1].receive(message, nodes[0]); count.Drops.Get(reason) != 1 {
			t.Errorf("%s is not counted", reason)
		}
	}
	if len(heard) > 0 {
		t.Errorf("heard %+v", <-heard)
	}
}

// The engine calls Broadcast and must never wait for the network: without anybody who sends, further messages are dropped.
func TestBroadcastNeverWaits(t *testing.T) {
	count := &counters.Gossip{}
	l, err := Listen(Options{Node: 0, Nodes: []netip.AddrPort{freeAddress(t), freeAddress(t)}, Receiver: make(recorder), Log: slog.Default(), Counters: count})
	if err != nil {
		t.Fatal(err)
	}
	defer l.conn.Close()
	for range queueLen + 3 { // nobody runs it
		l.Broadcast([]byte("x"))
	}
	if l.Broadcast(make([]byte, balancer.MaxGossipBytes+1)); count.Drops.Get("queue_full") != 3 || count.Drops.Get("too_long") != 1 {
		t.Errorf("drops %d and %d", count.Drops.Get("queue_full"), count.Drops.Get("too_long"))
	}
}
