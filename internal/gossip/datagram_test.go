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

// The file under testdata is a datagram that a released version sent as node 258: four bytes with the sender's number, then the
// message. Nodes of an earlier and a later version talk to each other, so a rename must change none of these bytes.
func TestDatagramsAreThoseOfReleasedVersions(t *testing.T) {
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
	heard, count := make(recorder, 1), &counters.Gossip{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := Listen(Options{Node: sender, Nodes: nodes, Receiver: heard, Log: slog.New(slog.DiscardHandler), Counters: count})
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(ctx)
	l.Broadcast([]byte("body\x00\xff"))
	buffer := make([]byte, headerBytes+balancer.MaxGossipBytes)
	_ = receiver.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := receiver.Read(buffer)
	if err != nil || !bytes.Equal(buffer[:n], want) {
		t.Errorf("sent %x, want %x; %v", buffer[:n], want, err)
	}

	other := &Transport{options: Options{Node: 0, Nodes: nodes, Receiver: heard, Log: slog.New(slog.DiscardHandler), Counters: count},
		numbers: map[netip.AddrPort]int{nodes[sender]: sender}}
	other.receive(want, nodes[sender])
	select {
	case m := <-heard:
		if m.From != sender || string(m.Body) != "body\x00\xff" {
			t.Errorf("read %+v", m)
		}
	default:
		t.Error("the datagram was not taken")
	}
}
