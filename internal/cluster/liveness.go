package cluster

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// A liveness stream is a connection on which nothing is sent after its first message, and which the process that opened it never
// closes. When the other side sees its end, the process's kernel has closed it, so the process has ended. That is a proof, not a
// guess, and spares the quota the wait for a lease to run out.
//
// A process closes its streams when the subsystem is turned off or the node stops, but only after the balancer has given up the
// quota (quotaAgent.stop).

const (
	// maxLivenessStreams of one member may be open: the connection of an earlier process may still be held by a machine that is
	// half dead, and is kept until its end is known.
	maxLivenessStreams = 3

	// livenessRetryDelay passes between the end of a stream and the next attempt.
	livenessRetryDelay = time.Second
)

var (
	errNotJoined = errors.New("not joined yet")
	errNoAddress = errors.New("no address")
)

// holdLivenessStream keeps a stream to a member open until the context ends. It runs on a goroutine of its own.
func (q *quotaAgent) holdLivenessStream(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if conn, err := q.openLivenessStream(ctx, name); err == nil {
			stop := closeOnDone(ctx, conn)
			_, _ = conn.Read(make([]byte, 1)) // returns when the stream ends
			stop()
			_ = conn.Close()
		}
		select {
		case <-time.After(livenessRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (q *quotaAgent) openLivenessStream(ctx context.Context, name string) (net.Conn, error) {
	hello, err := q.livenessMessage(ctx)
	if err != nil {
		return nil, err
	}
	to, ok := q.link.destination(membership.OutgoingMessage{To: name, Address: q.link.options.QuotaMembers[name]})
	if !ok {
		return nil, errNoAddress
	}
	dialer := net.Dialer{Timeout: streamTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := writeMessage(conn, hello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// livenessMessage gets the first message from the core. It is errNotJoined before this process's generation is certain.
func (q *quotaAgent) livenessMessage(ctx context.Context) (membership.Message, error) {
	var hello membership.Message
	joined := make(chan bool, 1)
	call := func() {
		if q.allocator != nil {
			hello = q.link.core.WithSender(membership.Message{Kind: membership.LivenessStream})
		}
		joined <- q.allocator != nil
	}
	select {
	case q.link.calls <- call:
	case <-ctx.Done():
		return hello, ctx.Err()
	}
	if !<-joined {
		return hello, errNotJoined
	}
	return hello, nil
}

// watchProcess waits for the end of a member's liveness stream. It runs on the stream's goroutine. The result says why the stream was
// not accepted; it is notDropped where it was.
//
// Only an orderly end counts, which the member's kernel sends when the process has ended. A reset, a timeout or silence may come
// from the network, while the process lives and uses its units; taken for its end they would let two members use the same units.
//
// A nil agent accepts no stream: while quotas are rolled out node by node, members that have one open streams to members without.
func (q *quotaAgent) watchProcess(ctx context.Context, conn net.Conn, m *membership.Message) dropReason {
	if q == nil || !slices.Contains(q.peers, m.From) || m.Address != q.link.options.QuotaMembers[m.From] {
		return dropLiveness
	}
	if !q.reserveLiveness(m.From) {
		return dropLivenessFull
	}
	_ = conn.SetDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	q.releaseLiveness(m.From)
	if !errors.Is(err, io.EOF) {
		return notDropped
	}
	select {
	case q.link.calls <- func() { q.processEnded(m.From, m.Generation) }:
	case <-ctx.Done():
	}
	return notDropped
}

// reserveLiveness counts a member's stream, and reports whether there may be one more.
func (q *quotaAgent) reserveLiveness(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.livenessByPeer[name] >= maxLivenessStreams {
		return false
	}
	q.livenessByPeer[name]++
	return true
}

func (q *quotaAgent) releaseLiveness(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.livenessByPeer[name]--
}
