package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/socket"
)

// dial opens a connection to a server if the connection limits allow it.
func (p *Pool) dial(ctx context.Context, id balancer.ServerID, addr string) (*conn, error) {
	if !p.reserve(id) {
		return nil, errNoCapacity
	}
	began := time.Now()
	netConn, err := p.dialOnce(ctx, addr)
	if p.timedOutInStandstill(ctx, err, time.Since(began)) {
		began = time.Now()
		netConn, err = p.dialOnce(ctx, addr)
	}
	if err != nil {
		p.unreserve(id)
		p.recordClose(&conn{server: id, addr: addr, opened: time.Now()}, dialReason(ctx, err), err)
		return nil, err
	}
	p.options.Memory.Charge(memory.ServerConnections, connectionBytes)
	p.options.Counters.Servers.Open.Inc()
	opened := time.Now()
	return &conn{
		Conn:      netConn,
		reader:    bufio.NewReaderSize(netConn, readBufferSize),
		server:    id,
		addr:      addr,
		opened:    opened,
		delay:     p.recordDial(id, opened.Sub(began)) / 2,
		idleSince: opened,
	}, nil
}

// minStandstill is by how much a connect timeout must be exceeded to show that the process had no CPU time.
const minStandstill = 10 * time.Millisecond

// dialOnce opens a connection to a server.
func (p *Pool) dialOnce(ctx context.Context, addr string) (net.Conn, error) {
	p.options.Counters.Servers.Dialed.Inc()
	return p.dialer.DialContext(ctx, "tcp", addr)
}

// timedOutInStandstill reports whether connecting took so much longer than the connect timeout that the process had no CPU time. The server
// may have accepted the connection long before.
func (p *Pool) timedOutInStandstill(ctx context.Context, err error, took time.Duration) bool {
	return err != nil && dialReason(ctx, err) == closeConnectTimeout && took > p.dialer.Timeout+minStandstill
}

// recordDial returns the shortest time that it has taken to open a connection to a server, which is close to a round trip. It is kept for
// as long as there is any connection to the server: one that was opened while packets got lost took much longer than a round trip.
func (p *Pool) recordDial(id balancer.ServerID, took time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if shortest, ok := p.shortestDial[id]; !ok || took < shortest {
		p.shortestDial[id] = took
	}
	return p.shortestDial[id]
}

// dialReason returns the reason why a connection could not be established.
func dialReason(ctx context.Context, err error) closeReason {
	var netErr net.Error
	switch {
	case hasEnded(ctx):
		return closeAborted
	case socket.IsResourceExhausted(err):
		return closeEvicted
	case socket.IsLocalFailure(err):
		return closeConnectLocal
	case errors.As(err, &netErr) && netErr.Timeout(): // the dialer's own timeout; the context has not ended
		return closeConnectTimeout
	}
	return closeConnectRefused
}

// hasEnded reports whether a context is done or its deadline has passed. A dialer also sets the context's deadline on the
// socket. If the socket's timer fires before the context's timer, the dial fails while ctx.Err is still nil.
func hasEnded(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return ctx.Err() != nil || hasDeadline && !time.Now().Before(deadline)
}

// isLocalFailure reports whether an attempt failed before it sent anything, and not because of the server: this node reached a
// connection limit, the failure was local to this machine, or the endpoint list no longer offers the server.
func isLocalFailure(err error) bool {
	return errors.Is(err, errNoCapacity) || errors.Is(err, engine.ErrWithdrawn) || socket.IsLocalFailure(err)
}
