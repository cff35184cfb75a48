// Package gossip carries the balancer's short messages between nodes as UDP datagrams. A message that is lost, late or duplicated
// does no harm, so nothing is sent again and nobody waits.
package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

const (
	// headerBytes is the size of the sender's number before the body, big-endian.
	headerBytes = 4

	// queueLen bounds the messages that wait to be written: some tenths of a second at the highest rate.
	queueLen = 64

	// From all nodes together messagesPerSecond are accepted, or messagesPerNode from each where that is more. A hundred nodes
	// send some ten a second each, so more is a fault.
	messagesPerSecond = 5000
	messagesPerNode   = 50

	// readErrorPause keeps an error that persists, such as a lack of buffers, from taking a CPU.
	readErrorPause = time.Millisecond
)

// dropReason says why a message was not sent or not accepted. The values are keys of a counter.
type dropReason string

const (
	dropTooLong       dropReason = "too_long"
	dropQueueFull     dropReason = "queue_full"
	dropWrite         dropReason = "write"
	dropRead          dropReason = "read"
	dropRate          dropReason = "rate"
	dropUnknownSender dropReason = "stranger" // the sender's address is no other node's
	dropSize          dropReason = "size"
	dropNumber        dropReason = "number" // the message has another number than its address
)

// Receiver takes other nodes' messages.
type Receiver interface{ ReceiveGossip(balancer.GossipReceived) }

// Options configure a transport.
type Options struct {
	Node     int              // this node's number
	Nodes    []netip.AddrPort // all nodes' addresses, by number; this node listens on its own
	Receiver Receiver
	Log      *slog.Logger
	Counters *counters.Gossip
}

// Transport is one node's side.
type Transport struct {
	options     Options
	conn        *net.UDPConn
	outgoing    chan []byte
	numbers     map[netip.AddrPort]int
	loggedDrops sync.Map // reasons that have been logged
}

// Listen opens the node's own address.
func Listen(options Options) (*Transport, error) {
	own := options.Nodes[options.Node]
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	t := &Transport{options: options, conn: conn, outgoing: make(chan []byte, queueLen), numbers: map[netip.AddrPort]int{}}
	for number, address := range options.Nodes {
		t.numbers[address] = number
	}
	options.Log.Info("exchanging messages with the other nodes", "code", "peers", "listen", own.String(), "nodes", len(options.Nodes))
	return t, nil
}

// drop counts a message that is not sent or not accepted; the first of each reason is logged.
func (t *Transport) drop(reason dropReason) {
	t.options.Counters.Drops.Inc(string(reason))
	if _, logged := t.loggedDrops.LoadOrStore(reason, true); !logged {
		t.options.Log.Warn("a message between nodes was dropped, further ones are only counted", "code", "peers_drop", "reason", string(reason))
	}
}

// Broadcast sends a message to every other node. It never waits, since the engine calls it: what the queue does not hold is
// dropped and counted.
func (t *Transport) Broadcast(body []byte) {
	if len(body) > balancer.MaxGossipBytes {
		t.drop(dropTooLong)
		return
	}
	select {
	case t.outgoing <- body:
	default:
		t.drop(dropQueueFull)
	}
}

// Run sends and receives until the context ends.
func (t *Transport) Run(ctx context.Context) {
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		t.read(ctx)
	}()
	for {
		select {
		case body := <-t.outgoing:
			t.write(body)
		case <-ctx.Done():
			_ = t.conn.Close() // the reader returns
			<-readerDone
			return
		}
	}
}

func (t *Transport) write(body []byte) {
	message := binary.BigEndian.AppendUint32(nil, uint32(t.options.Node))
	message = append(message, body...)
	for number, address := range t.options.Nodes {
		if number == t.options.Node {
			continue
		}
		if _, err := t.conn.WriteToUDPAddrPort(message, address); err != nil {
			t.drop(dropWrite)
			continue
		}
		t.options.Counters.Sent.Inc()
	}
}

func (t *Transport) read(ctx context.Context) {
	buffer := make([]byte, headerBytes+balancer.MaxGossipBytes+1) // one byte more, so that a longer message is noticed
	secondBegan := time.Time{}
	taken := 0 // in this second
	limit := max(messagesPerSecond, messagesPerNode*len(t.options.Nodes))
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a node's port that is closed: it concerns one datagram
			t.drop(dropRead)
			time.Sleep(readErrorPause)
			continue
		}
		if now := time.Now(); now.Sub(secondBegan) >= time.Second {
			secondBegan = now
			taken = 0
		}
		taken++
		if taken > limit {
			t.drop(dropRate)
			continue
		}
		t.receive(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive passes on what comes from another node's own address under its number.
func (t *Transport) receive(message []byte, from netip.AddrPort) {
	number, known := t.numbers[from]
	switch {
	case !known || number == t.options.Node:
		t.drop(dropUnknownSender)
	case len(message) <= headerBytes || len(message) > headerBytes+balancer.MaxGossipBytes:
		t.drop(dropSize)
	case binary.BigEndian.Uint32(message) != uint32(number):
		t.drop(dropNumber)
	default:
		t.options.Counters.Taken.Inc()
		body := append([]byte(nil), message[headerBytes:]...) // the buffer is used again
		t.options.Receiver.ReceiveGossip(balancer.GossipReceived{From: number, Body: body})
	}
}
