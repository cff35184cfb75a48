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

type ears chan balancer.GossipReceived

func (e ears) ReceiveGossip(m balancer.GossipReceived) { e <- m }

// free is an address of its own on loopback.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func TestNodesHearOneAnotherAndNoStranger(t *testing.T) {
	nodes := []netip.AddrPort{free(t), free(t), free(t)} // the third is down
	heard, count := make(ears, 8), &counters.Gossip{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	links := []*Transport{}
	for i := range 2 {
		l, err := Listen(Options{Node: i, Nodes: nodes, Receiver: heard, Log: slog.Default(), Counters: count})
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
		go l.Run(ctx)
	}
	links[0].Broadcast([]byte("hello"))
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
		if links[1].take(message, nodes[0]); count.Drops.Get(reason) != 1 {
			t.Errorf("%s is not counted", reason)
		}
	}
	if len(heard) > 0 {
		t.Errorf("heard %+v", <-heard)
	}
}

// The engine must never wait for the network.
func TestTellNeverWaits(t *testing.T) {
	count := &counters.Gossip{}
	l, err := Listen(Options{Node: 0, Nodes: []netip.AddrPort{free(t), free(t)}, Receiver: make(ears), Log: slog.Default(), Counters: count})
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
