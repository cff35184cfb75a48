package upstream

import (
	"context"
	"time"
)

const (
	// sweepInterval is the time between two checks of the idle connections. It is well below any idle timeout in use.
	sweepInterval = time.Second

	// maxIdleFraction is the fraction of IdleTimeout after which an idle connection is closed. It is below 1, because a
	// request that is written while the server closes the connection fails with a reset although the server may have run it.
	maxIdleFraction = 0.7
)

// Run periodically closes idle connections that are broken, have been idle too long, or belong to a server that was removed, has
// moved or is draining. When the context ends, Run closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweep(false)
		case <-ctx.Done():
			p.sweep(true)
			return
		}
	}
}

// sweep closes the idle connections that can no longer be used, or every idle connection if all is true.
func (p *Pool) sweep(all bool) {
	for c, reason := range p.takeUnusable(all) {
		p.closeIdle(c, reason, nil)
	}
}

// takeUnusable removes from the pool the idle connections that can no longer be used, or every idle connection if all is true.
// It returns the removed connections with the reason for closing each.
func (p *Pool) takeUnusable(all bool) map[*conn]closeReason {
	taken := map[*conn]closeReason{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		addr, known := p.options.Resolver.Address(id)
		kept := list[:0]
		for _, c := range list {
			var reason closeReason
			switch {
			case all:
				reason = closeExit
			case !known:
				reason = closeAddressGone
			default:
				reason = p.unusableReason(c, addr)
			}
			if reason == reusable {
				kept = append(kept, c)
			} else {
				taken[c] = reason
			}
		}
		clear(list[len(kept):])
		p.idle[id] = kept
	}
	return taken
}

// unusableReason returns why an idle connection cannot be used for a server with this address, or reusable if it can.
func (p *Pool) unusableReason(c *conn, addr string) closeReason {
	switch {
	case c.addr != addr:
		return closeAddressGone
	case p.idleTooLong(c):
		return closeIdleTimeout
	case !c.hasNoPendingInput():
		return closePeerClosed
	}
	return reusable
}

// idleTooLong reports whether a connection has been idle for so long that the server may be closing it.
func (p *Pool) idleTooLong(c *conn) bool {
	limit := time.Duration(float64(p.options.IdleTimeout) * maxIdleFraction)
	return limit > 0 && time.Since(c.idleSince) > limit
}
