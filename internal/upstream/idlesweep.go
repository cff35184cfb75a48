package upstream

import (
	"context"
	"time"
)

const (
	// sweepInterval is how often idle connections are checked; well under any idle timeout in use.
	sweepInterval = time.Second

	// idleShare of the idle timeout is how long a connection is kept unused. A request that is written while the server
	// closes the connection ends with a reset, and then it may have run.
	idleShare = 0.7
)

// Run closes idle connections that are too old, broken or lead to a server that is gone, until the context ends. Then it
// closes all idle ones.
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

// sweep closes idle connections that cannot be used any more, or all.
func (p *Pool) sweep(all bool) {
	for c, reason := range p.takeUnusable(all) {
		p.closeIdle(c, reason, nil)
	}
}

// takeUnusable removes the idle connections that cannot be used any more, or all.
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
				reason = p.unusable(c, addr)
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

// unusable is why an idle connection cannot be used for the server at an address, or reusable.
func (p *Pool) unusable(c *conn, addr string) closeReason {
	switch {
	case c.addr != addr:
		return closeAddressGone
	case p.tooOld(c):
		return closeIdleTimeout
	case !c.quiet():
		return closePeerClosed
	}
	return reusable
}

// tooOld reports whether a connection has been idle so long that the server may be closing it.
func (p *Pool) tooOld(c *conn) bool {
	limit := time.Duration(float64(p.options.IdleTimeout) * idleShare)
	return limit > 0 && time.Since(c.idleSince) > limit
}
