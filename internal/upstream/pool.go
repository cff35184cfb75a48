// Package upstream implements the node's HTTP connections to servers: the connection pool, the attempts and probes that use
// it, the classification of their outcomes, and the parsing of load reports.
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
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/internal/memory"
)

// Options configure a Pool.
type Options struct {
	Resolver          engine.Resolver
	ConnectTimeout    time.Duration // limit for establishing a connection
	IdleTimeout       time.Duration // idle time after which servers close a connection; 0: unknown
	ProbeTimeout      time.Duration // limit for a probe, including establishing a connection
	MaxConns          int           // connections to all servers together
	MaxConnsPerServer int
	MaxIdlePerServer  int  // 0: as many as MaxConnsPerServer
	LoadReports       bool // servers report their load
	QueueReports      bool // load reports contain the queue length
	// OnIdleClosed is called after an idle connection to a server was closed. It may be called from any goroutine and may
	// block. It may be nil.
	OnIdleClosed func(balancer.ServerID)
	Memory       *memory.Account // charged for connections and responses; nil: no limit
	// ListRevision returns the revision of the endpoint list by which servers are chosen now; nil: not logged.
	ListRevision func() int64
	Log          *slog.Logger
	Counters     *counters.Counters
}

// Pool manages the connections to all servers and enforces the connection limits.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu           sync.Mutex
	idle         map[balancer.ServerID][]*conn // each list ordered by idleSince, longest idle first
	reserved     map[balancer.ServerID]int     // connections to each server: idle, in use and being dialed
	shortestDial map[balancer.ServerID]time.Duration
	answerTimes  map[balancer.ServerID]*answerTimes
	total        int // sum of reserved
	processCount int // number of processes among which the limits are divided
}

// errNoCapacity is returned if the limits allow no further connection.
var errNoCapacity = errors.New("connection limit reached")

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{
		options:      o,
		dialer:       net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1, Control: faults.Connect},
		processCount: 1,
		idle:         map[balancer.ServerID][]*conn{},
		reserved:     map[balancer.ServerID]int{},
		shortestDial: map[balancer.ServerID]time.Duration{},
		answerTimes:  map[balancer.ServerID]*answerTimes{},
	}
}

// SetProcessCount divides the connection limits evenly among this number of processes. While the pool has more connections than
// the new total limit, it closes an idle connection each time one becomes idle.
func (p *Pool) SetProcessCount(processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processCount = processes
}

// maxTotal returns this process's limit of connections to all servers together. The caller must hold p.mu.
func (p *Pool) maxTotal() int { return p.options.MaxConns / p.processCount }

// maxPerServer returns this process's limit of connections to one server. The caller must hold p.mu.
func (p *Pool) maxPerServer() int { return max(1, p.options.MaxConnsPerServer/p.processCount) }

// acquire returns an idle connection to a server if one can be used, and otherwise opens a new one.
func (p *Pool) acquire(ctx context.Context, id balancer.ServerID) (*conn, error) {
	addr, ok := p.options.Resolver.Address(id)
	if !ok {
		return nil, engine.ErrWithdrawn
	}
	// The balancer already counts one idle connection fewer for this request, so OnIdleClosed must not be called for the first
	// connection that is closed here, only for further ones.
	closeUnusable := p.close
	for {
		c := p.takeIdle(id)
		if c == nil {
			return p.dial(ctx, id, addr)
		}
		if !c.awaitReuseDelay(ctx) { // the context has ended; the connection was not used
			p.putUnused(c)
			return nil, ctx.Err()
		}
		reason := p.unusableReason(c, addr)
		if reason == reusable {
			p.clearSuspect(c)
			p.options.Counters.Servers.Reused.Inc()
			return c, nil
		}
		closeUnusable(c, reason, nil)
		closeUnusable = p.closeIdle
	}
}

// takeIdle removes and returns the connection that became idle most recently among those whose reuseDelay has passed. If there
// is no such connection, it takes the one that has been idle longest; if none is idle, it returns nil. A suspect connection is taken only
// if the limits allow no new one.
func (p *Pool) takeIdle(id balancer.ServerID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	delay := p.reuseDelayOf(id)
	mayDial := p.reserved[id] < p.maxPerServer()
	chosen := -1
	for i := len(list) - 1; i >= 0; i-- {
		rested := time.Since(list[i].idleSince)
		restsLonger := delay > reuseDelay && delay-rested > reuseDelay
		if mayDial && (restsLonger || list[i].isSuspect()) {
			continue
		}
		chosen = i
		if rested >= delay {
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	c := list[chosen]
	p.idle[id] = slices.Delete(list, chosen, chosen+1)
	return c
}

// put makes a connection idle after a response. Its idle time starts now.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.putUnused(c)
}

// putUnused makes a connection idle that was not used since it was taken or opened. It keeps idleSince, because the server
// measures the idle time from its last response or from the opening of the connection.
func (p *Pool) putUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.server]
	position := len(list)
	for position > 0 && list[position-1].idleSince.After(c.idleSince) { // keeps the longest idle connection first
		position--
	}
	list = slices.Insert(list, position, c)
	p.idle[c.server] = list
	if p.options.MaxIdlePerServer > 0 && len(list) > p.options.MaxIdlePerServer {
		p.idle[c.server] = slices.Clone(list[1:])
		go p.closeIdle(list[0], closeExcessIdle, nil) // in a goroutine, because it locks p.mu
		return
	}
	if p.total <= p.maxTotal() {
		return
	}
	if evicted := p.takeLongestIdle(); evicted != nil { // the limit was lowered when another process started
		go p.closeIdle(evicted, closeEvicted, nil)
	}
}

// reserve reserves capacity for a new connection. At the total limit it closes the connection that has been idle longest. It
// reports false if the limits allow no further connection.
func (p *Pool) reserve(id balancer.ServerID) bool {
	ok, evicted := p.tryReserve(id)
	if evicted != nil {
		p.closeIdle(evicted, closeEvicted, nil)
	}
	return ok
}

// tryReserve does the work of reserve except for closing: the caller must close the evicted connection if it is not nil.
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

// unreserve frees the reservation of a connection that was closed or could not be established.
func (p *Pool) unreserve(id balancer.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	p.reserved[id]--
	if p.reserved[id] == 0 {
		delete(p.reserved, id)
		delete(p.idle, id)
		delete(p.shortestDial, id)
		delete(p.answerTimes, id)
	}
}

// takeLongestIdle removes and returns the connection that has been idle longest, or nil if none is idle. The caller must hold
// p.mu.
func (p *Pool) takeLongestIdle() *conn {
	var longestIdle *conn
	for _, list := range p.idle {
		if len(list) > 0 && (longestIdle == nil || list[0].idleSince.Before(longestIdle.idleSince)) {
			longestIdle = list[0]
		}
	}
	if longestIdle != nil {
		p.idle[longestIdle.server] = slices.Clone(p.idle[longestIdle.server][1:])
	}
	return longestIdle
}
