package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/socket"
)

// dial opens a connection within the limits.
func (p *Pool) dial(ctx context.Context, id balancer.ServerID, addr string) (*conn, error) {
	if !p.reserve(id) {
		return nil, errNoCapacity
	}
	p.options.Counters.Servers.Dialed.Inc()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.unreserve(id)
		p.recordClose(&conn{server: id, addr: addr, opened: time.Now()}, dialReason(ctx, err), err)
		return nil, err
	}
	p.options.Counters.Servers.Open.Inc()
	opened := time.Now()
	return &conn{
		Conn:      nc,
		reader:    bufio.NewReaderSize(nc, readBufferSize),
		server:    id,
		addr:      addr,
		opened:    opened,
		idleSince: opened,
	}, nil
}

// dialReason is why a connection did not come up.
func dialReason(ctx context.Context, err error) closeReason {
	var netErr net.Error
	switch {
	case hasEnded(ctx):
		return closeAborted
	case socket.IsResourceExhausted(err):
		return closeEvicted
	case socket.IsLocalFailure(err):
		return closeConnectLocal
	case errors.As(err, &netErr) && netErr.Timeout(): // the dialer's own timeout, not the deadline of a connection
		return closeConnectTimeout
	}
	return closeConnectRefused
}

// hasEnded reports whether a context is over. A dialer gives the context's deadline to the socket, whose timer may fire before the
// context's own: then the context is not done yet though its deadline has passed.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// isLocal reports whether an attempt failed for a reason of this node's: its limits, its machine, or a server that has just
// been removed. Nothing was sent, and the server is not at fault.
func isLocal(err error) bool {
	return errors.Is(err, errNoCapacity) || errors.Is(err, errNoAddress) || socket.IsLocalFailure(err)
}
