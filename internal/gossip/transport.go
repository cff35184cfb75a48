// Package gossip sends the balancer's short messages between nodes as UDP datagrams. Lost, late or repeated messages do no harm, so
// nothing is retransmitted and no sender waits for an answer.
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
	// headerBytes is the size of the header before the body: the sender's node number, big-endian.
	headerBytes = 4

	// sendQueueLen is the maximum number of queued outgoing messages: those of a few tenths of a second at the highest rate.
	sendQueueLen = 64

	// maxMessagesPerSecond limits the messages accepted per second from all nodes together. A hundred nodes send about ten per second
	// each, so a higher rate indicates a fault.
	maxMessagesPerSecond = 5000

	// maxMessagesPerNode times the number of nodes is the limit per second instead of maxMessagesPerSecond if it is higher.
	maxMessagesPerNode = 50

	// readErrorDelay is the delay after a read error. Without it, a persistent error such as a lack of buffers would use a whole CPU.
	readErrorDelay = time.Millisecond
)

// dropReason is the reason why a message was not sent or not accepted. The values are keys of a counter.
type dropReason string

const (
	dropTooLong       dropReason = "too_long"
	dropQueueFull     dropReason = "queue_full"
	dropWrite         dropReason = "write"
	dropRead          dropReason = "read"
	dropRate          dropReason = "rate"
	dropUnknownSender dropReason = "stranger" // the sender's address is not that of another node
	dropSize          dropReason = "size"
	dropWrongNumber   dropReason = "number" // the node number in the message does not match the sender's address
)

// Receiver handles the messages of other nodes.
type Receiver interface{ ReceiveGossip(balancer.GossipReceived) }

// Options configure a transport.
type Options struct {
	Node     int              // this node's number
	Nodes    []netip.AddrPort // all nodes' addresses, by number; this node listens on its own
	Receiver Receiver
	Log      *slog.Logger
	Counters *counters.Gossip
}

// Transport sends and receives the messages of one node.
type Transport struct {
	options         Options
	conn            *net.UDPConn
	outgoing        chan []byte
	numberByAddress map[netip.AddrPort]int
	loggedDrops     sync.Map // drop reasons that have been logged
}

// Listen opens a UDP socket on the node's own address.
func Listen(options Options) (*Transport, error) {
	ownAddress := options.Nodes[options.Node]
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ownAddress))
	if err != nil {
		return nil, fmt.Errorf("peers: listen for messages from the other nodes: %w", err)
	}
	t := &Transport{options: options, conn: conn, outgoing: make(chan []byte, sendQueueLen), numberByAddress: map[netip.AddrPort]int{}}
	for number, address := range options.Nodes {
		t.numberByAddress[address] = number
	}
	options.Log.Info("listening for messages from the other nodes", "code", "peers", "listen", ownAddress.String(), "nodes", len(options.Nodes))
	return t, nil
}

// drop counts a message that is not sent or not accepted, and logs the first one for each reason.
func (t *Transport) drop(reason dropReason) {
	t.options.Counters.Drops.Inc(string(reason))
	if _, logged := t.loggedDrops.LoadOrStore(reason, true); !logged {
		t.options.Log.Warn("dropped a message between nodes; further drops for this reason are only counted", "code", "peers_drop", "reason", string(reason))
	}
}

// Broadcast queues a message to every other node. It never blocks, since the engine calls it: if the queue is full, the message is
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
			_ = t.conn.Close() // makes the reader return
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
	buffer := make([]byte, headerBytes+balancer.MaxGossipBytes+1) // one extra byte, so that a longer message is detected
	windowStart := time.Time{}
	received := 0 // in the current one-second window
	limit := max(maxMessagesPerSecond, maxMessagesPerNode*len(t.options.Nodes))
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an ICMP error from a node's closed port; it affects one datagram only
			t.drop(dropRead)
			time.Sleep(readErrorDelay)
			continue
		}
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart = now
			received = 0
		}
		received++
		if received > limit {
			t.drop(dropRate)
			continue
		}
		t.receive(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive passes on a message that comes from another node's address and contains that node's number.
func (t *Transport) receive(message []byte, from netip.AddrPort) {
	number, known := t.numberByAddress[from]
	switch {
	case !known || number == t.options.Node:
		t.drop(dropUnknownSender)
	case len(message) <= headerBytes || len(message) > headerBytes+balancer.MaxGossipBytes:
		t.drop(dropSize)
	case binary.BigEndian.Uint32(message) != uint32(number):
		t.drop(dropWrongNumber)
	default:
		t.options.Counters.Taken.Inc()
		body := append([]byte(nil), message[headerBytes:]...) // the reader reuses the buffer
		t.options.Receiver.ReceiveGossip(balancer.GossipReceived{From: number, Body: body})
	}
}
