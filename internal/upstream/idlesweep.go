package upstream

import (
	"context"
	"time"
)

const (
	// sweepInterval is the time between two checks of the idle connections. It is well below any idle timeout in use.
	sweepInterval = time.Second

	// maxIdleFraction is the fraction of IdleTimeout after which an idle connection is closed. A request that is written while
	// the server closes the connection ends with a reset, and may have run nevertheless.
	maxIdleFraction = 0.7
)

// Run periodically closes idle connections that are broken, have been idle too long, or lead to a server that has no address
// any more. When the context ends, Run closes all idle connections and returns.
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

// sweep closes the idle connections that can no longer be used, or all idle connections.
func (p *Pool) sweep(all bool) {
	for c, reason := range p.takeUnusable(all) {
		p.closeIdle(c, reason, nil)
	}
}

// takeUnusable removes the idle connections that can no longer be used, or all of them, from the pool. It returns them with
// the reason for each.
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
