// Package upstream holds the node's connections to servers: the connection pool, the attempts and probes that run on it,
// the outcome of each, and the load reports that come back.
package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/faults"
)

// Resolver resolves the address of a server. It reports false for a server that was removed or is draining.
type Resolver interface {
	Address(balancer.ServerID) (string, bool)
}

// Options configure a Pool.
type Options struct {
	Resolver          Resolver
	ConnectTimeout    time.Duration // for a connection to come up
	IdleTimeout       time.Duration // after which servers close idle connections; 0: unknown
	ProbeTimeout      time.Duration // for a probe, its connection included
	MaxConns          int           // connections in all
	MaxConnsPerServer int
	MaxIdlePerServer  int  // 0: as many as MaxConnsPerServer
	LoadReports       bool // servers report their load
	QueueReports      bool // ... and in it the length of their queue
	// OnIdleClosed is called when an idle connection to a server was closed, from any goroutine. It may block; nil: no call.
	OnIdleClosed func(balancer.ServerID)
	Log          *slog.Logger
	Counters     *counters.Counters
}

// Pool holds the connections to all servers.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu        sync.Mutex
	idle      map[balancer.ServerID][]*conn // roughly by when they became idle; one put back unused is last
	reserved  map[balancer.ServerID]int     // connections to each server: idle, in use and coming up
	total     int                           // sum of reserved
	processes int                           // that share the limits
}

var (
	// errNoCapacity is returned where the limits allow no further connection.
	errNoCapacity = errors.New("connection limit reached")

	// errNoAddress is returned for a server that was removed, has moved or is draining.
	errNoAddress = errors.New("server has no address")
)

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{
		options:   o,
		dialer:    net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1, Control: faults.Connect},
		processes: 1,
		idle:      map[balancer.ServerID][]*conn{},
		reserved:  map[balancer.ServerID]int{},
	}
}

// SetProcessCount divides the limits among so many processes. Connections beyond the new limits are closed as they become
// idle.
func (p *Pool) SetProcessCount(processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = processes
}

// maxTotal is this process's limit of connections in all. The caller holds the lock.
func (p *Pool) maxTotal() int { return p.options.MaxConns / p.processes }

// maxPerServer is this process's limit of connections to one server. The caller holds the lock.
func (p *Pool) maxPerServer() int { return max(1, p.options.MaxConnsPerServer/p.processes) }

// acquire returns a connection to a server: an idle one if one can be used, else a new one.
func (p *Pool) acquire(ctx context.Context, id balancer.ServerID) (*conn, error) {
	addr, ok := p.options.Resolver.Address(id)
	if !ok {
		return nil, errNoAddress
	}
	// The balancer counts the connection that this request takes as no longer idle. Only further ones are news to it.
	closeUnusable := p.close
	for {
		c := p.takeIdle(id)
		if c == nil {
			return p.connect(ctx, id, addr)
		}
		if !c.awaitSettled(ctx) { // given up meanwhile; the connection was not used
			p.putUnused(c)
			return nil, ctx.Err()
		}
		reason := p.unusable(c, addr)
		if reason == reusable {
			p.options.Counters.Servers.Reused.Inc()
			return c, nil
		}
		closeUnusable(c, reason, nil)
		closeUnusable = p.closeIdle
	}
}

// connect opens a connection. It is not returned if the server was removed, moved or began to drain meanwhile: a server's
// drain period is counted from the announcement, however long connections take.
func (p *Pool) connect(ctx context.Context, id balancer.ServerID, addr string) (*conn, error) {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return nil, err
	}
	if now, ok := p.options.Resolver.Address(id); !ok || now != addr {
		p.close(c, closeAddressGone, nil)
		return nil, errNoAddress
	}
	return c, nil
}

// takeIdle removes the connection that became idle last among those that have settled, or else the one that became idle
// first; nil where there is none.
func (p *Pool) takeIdle(id balancer.ServerID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	for i > 0 && time.Since(list[i].idleSince) < settleTime {
		i--
	}
	c := list[i]
	p.idle[id] = slices.Delete(list, i, i+1)
	return c
}

// put makes a connection idle.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.putUnused(c)
}

// putUnused returns a connection that has not been used since it was taken or opened. It is as idle as before: the server counts from
// its last response, or from the beginning.
func (p *Pool) putUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.server]
	at := len(list)
	for at > 0 && list[at-1].idleSince.After(c.idleSince) { // the one that is idle longest is the first
		at--
	}
	list = slices.Insert(list, at, c)
	p.idle[c.server] = list
	if p.options.MaxIdlePerServer > 0 && len(list) > p.options.MaxIdlePerServer {
		p.idle[c.server] = slices.Clone(list[1:])
		go p.closeIdle(list[0], closeSpare, nil) // it takes the lock
		return
	}
	if p.total <= p.maxTotal() {
		return
	}
	if evicted := p.takeLongestIdle(); evicted != nil { // another process shares the limits now
		go p.closeIdle(evicted, closeEvicted, nil)
	}
}

// reserve makes room for a new connection, where needed by closing the one that has been idle longest. It reports false
// where the limits allow none.
func (p *Pool) reserve(id balancer.ServerID) bool {
	ok, evicted := p.tryReserve(id)
	if evicted != nil {
		p.closeIdle(evicted, closeEvicted, nil)
	}
	return ok
}

// tryReserve also returns an idle connection that the caller must close.
func (p *Pool) tryReserve(id balancer.ServerID) (ok bool, evicted *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[id] >= p.maxPerServer() {
		return false, nil
	}
	if p.total >= p.maxTotal() {
		evicted = p.takeLongestIdle()
		if evicted == nil {
			return false, nil
		}
	}
	p.reserved[id]++
	p.total++
	return true, evicted
}

// unreserve frees the reservation of a connection that was closed or did not come up.
func (p *Pool) unreserve(id balancer.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	p.reserved[id]--
	if p.reserved[id] == 0 {
		delete(p.reserved, id)
		delete(p.idle, id)
	}
}

// takeLongestIdle removes the connection that has been idle longest; nil where there is none. The caller holds the lock.
func (p *Pool) takeLongestIdle() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.server] = slices.Clone(p.idle[oldest.server][1:])
	}
	return oldest
}
