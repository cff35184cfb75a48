package gossip

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// Nodes of different versions exchange datagrams, so a rename must not change any byte. The file under testdata is a datagram that a
// released version sent as node 258: four bytes with the sender's number, then the message.
func TestDatagramMatchesReleasedVersion(t *testing.T) {
	const sender = 258
	want, err := os.ReadFile("testdata/message.datagram")
	if err != nil {
		t.Fatal(err)
	}
	nodes := make([]netip.AddrPort, sender+1)
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = receiver.Close() }()
	nodes[0], nodes[sender] = receiver.LocalAddr().(*net.UDPAddr).AddrPort(), freeAddress(t)
	received, counts := make(recorder, 1), &counters.Gossip{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transport, err := Listen(Options{Node: sender, Nodes: nodes, Receiver: received, Log: slog.New(slog.DiscardHandler), Counters: counts})
	if err != nil {
		t.Fatal(err)
	}
	go transport.Run(ctx)
	transport.Broadcast([]byte("body\x00\xff"))
	buffer := make([]byte, headerBytes+balancer.MaxGossipBytes)
	_ = receiver.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := receiver.Read(buffer)
	if err != nil || !bytes.Equal(buffer[:n], want) {
		t.Errorf("sent %x, want %x; %v", buffer[:n], want, err)
	}

	other := &Transport{options: Options{Node: 0, Nodes: nodes, Receiver: received, Log: slog.New(slog.DiscardHandler), Counters: counts},
		numberByAddress: map[netip.AddrPort]int{nodes[sender]: sender}}
	other.receive(want, nodes[sender])
	select {
	case m := <-received:
		if m.From != sender || string(m.Body) != "body\x00\xff" {
			t.Errorf("received %+v, want body %q from node %d", m, "body\x00\xff", sender)
		}
	default:
		t.Error("the recorded datagram was not delivered to the receiver")
	}
}
