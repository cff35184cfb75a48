// Package gossip carries the module's short messages between nodes as UDP datagrams. A message that is lost, late or double
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
	// headLen is the sender's number before the body.
	headLen = 4

	// queueLen bounds the messages that wait to be written: some tenths of a second at the highest rate. The
	// engine never waits for them.
	queueLen = 64

	// leastPerSecond is how many messages are taken of all nodes together in a second, and eachPerSecond for each node where that
	// is more. A hundred nodes tell some ten times a second each; what is more is a fault, and the newest of a second can do
	// without it.
	leastPerSecond = 5000
	eachPerSecond  = 50
)

// Hearer takes what other nodes tell.
type Receiver interface{ ReceiveGossip(balancer.GossipReceived) }

// Options are what the link works with.
type Options struct {
	Node     int              // this node's number
	Nodes    []netip.AddrPort // all nodes' addresses, by number; this node listens on its own
	Receiver Receiver
	Log      *slog.Logger
	Counters *counters.Gossip
}

// Link is one node's side.
type Transport struct {
	o       Options
	conn    *net.UDPConn
	out     chan []byte
	numbers map[netip.AddrPort]int
	logged  sync.Map // reasons of drops that the log has named
}

// Listen opens the node's own address.
func Listen(o Options) (*Transport, error) {
	l := &Transport{o: o, out: make(chan []byte, queueLen), numbers: map[netip.AddrPort]int{}}
	for i, a := range o.Nodes {
		l.numbers[a] = i
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Nodes[o.Node]))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	l.conn = conn
	o.Log.Info("talking to the other nodes", "code", "peers", "listen", o.Nodes[o.Node].String(), "nodes", len(o.Nodes))
	return l, nil
}

// drop counts a message that is not sent or not taken; the first of each reason is logged, the rest are counted.
func (l *Transport) drop(reason string) {
	l.o.Counters.Drops.Inc(reason)
	if _, known := l.logged.LoadOrStore(reason, true); !known {
		l.o.Log.Warn("a message between nodes was dropped, further ones are only counted", "code", "peers_drop", "reason", reason)
	}
}

// Tell sends every other node a message. It never waits: what does not fit the queue is dropped and counted.
func (l *Transport) Broadcast(body []byte) {
	if len(body) > balancer.MaxGossipBytes {
		l.drop("too_long")
		return
	}
	select {
	case l.out <- body:
	default:
		l.drop("queue_full")
	}
}

// Run sends and takes in until the context ends.
func (l *Transport) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.read(ctx)
	}()
	for {
		select {
		case body := <-l.out:
			l.write(body)
		case <-ctx.Done():
			_ = l.conn.Close() // the reader returns
			<-done
			return
		}
	}
}

func (l *Transport) write(body []byte) {
	message := append(binary.BigEndian.AppendUint32(nil, uint32(l.o.Node)), body...)
	for i, to := range l.o.Nodes {
		if i == l.o.Node {
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(message, to); err != nil {
			l.drop("write")
			continue
		}
		l.o.Counters.Sent.Inc()
	}
}

// readPause keeps an error that stays, such as a want of buffers, from taking the core.
const readPause = time.Millisecond

func (l *Transport) read(ctx context.Context) {
	buffer := make([]byte, headLen+balancer.MaxGossipBytes+1)
	second, taken := time.Time{}, 0
	most := max(leastPerSecond, eachPerSecond*len(l.o.Nodes))
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.drop("read") // such as a peer's port that is closed: it concerns one datagram
			time.Sleep(readPause)
			continue
		}
		if now := time.Now(); now.Sub(second) >= time.Second {
			second, taken = now, 0
		}
		if taken++; taken > most {
			l.drop("rate")
			continue
		}
		l.take(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// take passes on what comes from a node's own address under its own number.
func (l *Transport) take(message []byte, from netip.AddrPort) {
	number, known := l.numbers[from]
	switch {
	case !known || number == l.o.Node:
		l.drop("stranger")
	case len(message) <= headLen || len(message) > headLen+balancer.MaxGossipBytes:
		l.drop("size")
	case binary.BigEndian.Uint32(message) != uint32(number):
		l.drop("number")
	default:
		l.o.Counters.Taken.Inc()
		l.o.Receiver.ReceiveGossip(balancer.GossipReceived{From: number, Body: append([]byte(nil), message[headLen:]...)})
	}
}
