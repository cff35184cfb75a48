// Package upstream holds the connections to servers: a pool of its own, the attempts and probes on them, what
// each outcome was, and the load reports that come back.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/internal/socket"
)

// janitorEvery is how often idle connections are looked through; well under any idle time in use.
const janitorEvery = time.Second

// Addresses tells where servers listen that may be sent to; false for one that is gone or drains.
type Addresses interface {
	Address(balancer.ServerID) (string, bool)
}

// Options are what a pool works with.
type Options struct {
	Addresses         Addresses
	ConnectTimeout    time.Duration           // the settings' limit for a connection to come up
	IdleTimeout       time.Duration           // the settings' idle time; 0: none stated
	ProbeTimeout      time.Duration           // a probe's time
	MaxConns          int                     // connections in all
	MaxConnsPerServer int                     // connections to one server
	MaxIdlePerServer  int                     // of these, idle ones; 0: as many as there are
	LoadReports       bool                    // servers report their load
	QueueReports      bool                    // ... with the requests that wait
	OnIdleClosed      func(balancer.ServerID) // an idle connection to it is no more; called from any goroutine, may wait. Nil: nobody asks
	Log               *slog.Logger
	Count             *counters.Counters
}

// Pool holds the connections.
type Pool struct {
	o      Options
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[balancer.ServerID][]*conn // newest last
	held  map[balancer.ServerID]int     // connections, in use and idle
	total int
	parts int // processes that share the limits
}

// New makes a pool.
func New(o Options) *Pool {
	return &Pool{o: o, dialer: net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1, Control: faults.Connect},
		parts: 1, idle: map[balancer.ServerID][]*conn{}, held: map[balancer.ServerID]int{}}
}

// Share has the limits shared by so many processes. What is open beyond it ends as it falls idle.
func (p *Pool) SetProcessCount(processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = processes
}

// errRoom says that the limits allow no further connection.
var errRoom = errors.New("no room for another connection")

// errAddress says that the server has left the list.
var errAddress = errors.New("no address for the server")

// get takes an idle connection, the newest that has rested first, or opens one.
func (p *Pool) get(ctx context.Context, id balancer.ServerID) (*conn, error) {
	addr, ok := p.o.Addresses.Address(id)
	if !ok {
		return nil, errAddress
	}
	for end := p.end; ; end = p.drop { // the first one counts as taken by whoever asked
		c := p.pop(id)
		if c == nil {
			return p.fresh(ctx, id, addr)
		}
		if !c.rest(ctx) { // given up meanwhile; nobody else has had it
			p.putBack(c)
			return nil, ctx.Err()
		}
		switch {
		case c.addr != addr:
			end(c, endGone, nil)
		case p.stale(c): // the janitor may not have come by yet, and the server may be closing it right now
			end(c, endIdle, nil)
		case !c.quiet():
			end(c, endPeerClosed, nil)
		default:
			p.o.Count.Servers.Reused.Inc()
			return c, nil
		}
	}
}

// fresh opens a connection. A server that was told to drain, left or moved while it came up gets nothing on it: the grace
// runs from the telling, however long connections take.
func (p *Pool) fresh(ctx context.Context, id balancer.ServerID, addr string) (*conn, error) {
	c, err := p.dial(ctx, id, addr)
	if err != nil {
		return nil, err
	}
	if now, ok := p.o.Addresses.Address(id); !ok || now != addr {
		p.end(c, endGone, nil)
		return nil, errAddress
	}
	return c, nil
}

// stale tells whether an idle connection has stood so long that the server may close it.
func (p *Pool) stale(c *conn) bool {
	limit := time.Duration(float64(p.o.IdleTimeout) * idleShare)
	return limit > 0 && time.Since(c.idleSince) > limit
}

// pop takes out the newest idle connection that has rested; where none has, the one that has longest.
func (p *Pool) pop(id balancer.ServerID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	at := len(list) - 1
	for at > 0 && time.Since(list[at].idleSince) < restFor {
		at--
	}
	c := list[at]
	p.idle[id] = slices.Delete(list, at, at+1)
	return c
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.putBack(c)
}

// putBack keeps one that has not been used since it was taken.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.id] = append(p.idle[c.id], c)
	if list := p.idle[c.id]; p.o.MaxIdlePerServer > 0 && len(list) > p.o.MaxIdlePerServer { // a server holds only so many, of all nodes together
		p.idle[c.id] = append([]*conn(nil), list[1:]...)
		go p.drop(list[0], endSpare, nil) // it takes the lock
		return
	}
	if p.total <= p.o.MaxConns/p.parts {
		return
	}
	if victim := p.longestIdle(); victim != nil { // there is another process now
		go p.drop(victim, endEvicted, nil)
	}
}

// reserve makes room for a connection, at the cost of the one longest idle where the limit is reached.
func (p *Pool) reserve(id balancer.ServerID) bool {
	p.mu.Lock()
	if p.held[id] >= max(1, p.o.MaxConnsPerServer/p.parts) {
		p.mu.Unlock()
		return false
	}
	var victim *conn
	if p.total >= p.o.MaxConns/p.parts {
		if victim = p.longestIdle(); victim == nil {
			p.mu.Unlock()
			return false
		}
	}
	p.held[id]++
	p.total++
	p.mu.Unlock()
	if victim != nil {
		p.drop(victim, endEvicted, nil)
	}
	return true
}

// longestIdle takes the connection that has stood idle longest out of the pool.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.id] = append([]*conn(nil), p.idle[oldest.id][1:]...)
	}
	return oldest
}

func (p *Pool) release(id balancer.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.held[id]--; p.held[id] == 0 {
		delete(p.held, id)
		delete(p.idle, id)
	}
}

func (p *Pool) dial(ctx context.Context, id balancer.ServerID, addr string) (*conn, error) {
	if !p.reserve(id) {
		return nil, errRoom
	}
	p.o.Count.Servers.Dialed.Inc()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(id)
		p.logEnd(&conn{id: id, addr: addr, opened: time.Now()}, dialReason(ctx, err), err)
		return nil, err
	}
	p.o.Count.Servers.Open.Inc()
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), id: id, addr: addr, opened: time.Now()}, nil
}

func dialReason(ctx context.Context, err error) string {
	var ne net.Error
	switch {
	case ctx.Err() != nil:
		return endGaveUp
	case socket.IsResourceExhausted(err):
		return endEvicted
	case socket.IsLocalFailure(err):
		return endLocal
	case errors.As(err, &ne) && ne.Timeout(): // the dialer's own error, not the one of a connection's deadline
		return endNoConnect
	}
	return endRefused
}

// end closes a connection, frees its place and leaves its log line.
func (p *Pool) end(c *conn, reason string, err error) {
	_ = c.Close() // nothing is left to be written
	p.o.Count.Servers.Open.Add(-1)
	p.release(c.id)
	p.logEnd(c, reason, err)
}

// drop ends a connection that was taken to stand open for the next request.
func (p *Pool) drop(c *conn, reason string, err error) {
	p.end(c, reason, err)
	if p.o.OnIdleClosed != nil {
		p.o.OnIdleClosed(c.id)
	}
}

func (p *Pool) logEnd(c *conn, reason string, err error) {
	p.o.Count.ServerEnds.Inc(reason)
	args := []any{"code", reason, "server", string(c.id), "addr", c.addr, "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	p.o.Log.Info("server connection ended", args...)
}

// recovered ends what one answer broke, with a log line: what a server sends must not end the node.
func (p *Pool) recovered(then func()) {
	if r := recover(); r != nil {
		p.o.Log.Error("panic on a server's connection", "code", endPanic, "panic", r, "stack", string(debug.Stack()))
		then()
	}
}

// Run drops what has stood idle too long or leads to a server no longer there, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(janitorEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.sweep(false)
		case <-ctx.Done():
			p.sweep(true)
			return
		}
	}
}

func (p *Pool) sweep(all bool) {
	ended := map[*conn]string{}
	p.mu.Lock()
	for id, list := range p.idle {
		addr, ok := p.o.Addresses.Address(id)
		kept := list[:0]
		for _, c := range list {
			switch {
			case all:
				ended[c] = endExit
			case !ok || c.addr != addr:
				ended[c] = endGone
			case p.stale(c):
				ended[c] = endIdle
			case !c.quiet(): // frees the descriptors of those that the server has closed
				ended[c] = endPeerClosed
			default:
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		p.idle[id] = kept
	}
	p.mu.Unlock()
	for c, reason := range ended {
		p.drop(c, reason, nil)
	}
}
