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

// A liveness stream is a connection that a process keeps open as long as it uses its quota. After the first message nothing is sent
// on it. If the other side reads EOF, the kernel has closed the connection, so the process has ended. Because this is a proof and not
// a timeout, the lessor can use the process's quota units at once instead of waiting for the lease to expire.
//
// A process also closes its streams when the subsystem is turned off or the node stops, but only after the balancer has given up the
// quota (quotaAgent.stop).

const (
	// maxLivenessStreams limits the open liveness streams of one member. There can be more than one: if a machine hangs or is
	// disconnected, the connection of an earlier process stays open until this side detects the failure.
	maxLivenessStreams = 3

	// livenessRetryDelay is the delay between the end of a stream, or a failed attempt, and the next attempt.
	livenessRetryDelay = time.Second
)

var (
	errNotJoined = errors.New("this process has not joined the cluster yet")
	errNoAddress = errors.New("the member has no valid address")
)

// holdLivenessStream keeps a liveness stream to a member open until the context ends. It runs on its own goroutine.
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

// openLivenessStream connects to a member and sends the first message of a liveness stream.
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

// livenessMessage gets the first message of a liveness stream from the core. It returns errNotJoined until the process has joined,
// since its generation may change before that.
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
	case q.link.coreCalls <- call:
	case <-ctx.Done():
		return hello, ctx.Err()
	}
	if !<-joined {
		return hello, errNotJoined
	}
	return hello, nil
}

// watchProcess waits for the end of a member's liveness stream. It runs on the goroutine of the stream. It returns the reason why the
// stream was not accepted, or notDropped if it was.
//
// Only EOF proves that the process has ended: its kernel sends a FIN when the process ends. A reset, a timeout or silence can come from
// the network while the process still runs and uses its units. If these were treated as its end, two members would use the same units.
//
// A nil agent accepts no streams. While quotas are rolled out node by node, members with a quota open streams to members without one.
func (q *quotaAgent) watchProcess(ctx context.Context, conn net.Conn, m *membership.Message) dropReason {
	if q == nil || !slices.Contains(q.peers, m.From) || m.Address != q.link.options.QuotaMembers[m.From] {
		return dropUnexpectedLiveness
	}
	if !q.reserveLivenessStream(m.From) {
		return dropLivenessFull
	}
	_ = conn.SetDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	q.releaseLivenessStream(m.From)
	if !errors.Is(err, io.EOF) {
		return notDropped
	}
	select {
	case q.link.coreCalls <- func() { q.processEnded(m.From, m.Generation) }:
	case <-ctx.Done():
	}
	return notDropped
}

// reserveLivenessStream counts a new stream of a member. It returns false if the member already has maxLivenessStreams.
func (q *quotaAgent) reserveLivenessStream(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.livenessByPeer[name] >= maxLivenessStreams {
		return false
	}
	q.livenessByPeer[name]++
	return true
}

// releaseLivenessStream removes an ended stream of a member from the count.
func (q *quotaAgent) releaseLivenessStream(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.livenessByPeer[name]--
}
