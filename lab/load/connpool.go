package load

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/netfault"
)

const (
	// excludeFor is how long the pool does not use a node after a connection attempt to it has failed.
	excludeFor = 500 * time.Millisecond

	// maxIdle is how long a client keeps an idle connection. It is shorter than the node's idle timeout, so that a request
	// rarely races with the node closing the connection.
	maxIdle = 2 * time.Second

	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second

	// useWhileStopping is how long the pool still uses a node after its planned stop began. The platform stops sending
	// requests to a stopping node after at most 0.4 s.
	useWhileStopping = 400 * time.Millisecond
)

// connPool distributes the clients' connections over the nodes, as a load balancer in front of them would.
type connPool struct {
	nodes       []string
	links       []*netfault.Link             // by node; nil if the link is unimpaired
	stoppingFor func(node int) time.Duration // time since a node's planned stop began; nil if unknown

	mu            sync.Mutex
	excludedUntil []time.Time // by node
	idle          [][]*conn
	open          map[*conn]struct{}
	closed        bool
}

// conn is one client's connection.
type conn struct {
	net.Conn
	r          *bufio.Reader
	node       int
	used       bool
	idleSince  time.Time
	resetByLab bool // a fault injected by the lab broke the connection
}

// resetDelay starts a new measurement of the link's delay if the connection is on a simulated link.
func (c *conn) resetDelay() {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		l.ResetMaxDelay()
	}
}

// linkDelay returns the delay that the link has added since resetDelay.
func (c *conn) linkDelay() time.Duration {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		return l.MaxDelay()
	}
	return 0
}

// inTransit reports whether the simulated link still has bytes in flight.
func (c *conn) inTransit() bool {
	l, ok := c.Conn.(*netfault.Conn)
	return ok && l.InFlight()
}

// errNoNodeAccepts is returned if no node accepts connections.
var errNoNodeAccepts = errors.New("no node accepts connections")

// newConnPool creates a pool without connections.
func newConnPool(nodes []string, links []*netfault.Link) *connPool {
	return &connPool{nodes: nodes, links: links, excludedUntil: make([]time.Time, len(nodes)), idle: make([][]*conn, len(nodes)),
		open: map[*conn]struct{}{}}
}

// choose returns the first usable node, starting at the random index pick and wrapping around. It skips nodes in excluded,
// nodes that recently refused connections, and nodes that are stopping.
func (p *connPool) choose(pick uint64, excluded map[int]bool) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := uint64(len(p.nodes))
	for i := range n {
		node := int((pick + i) % n)
		if !excluded[node] && now.After(p.excludedUntil[node]) && (p.stoppingFor == nil || p.stoppingFor(node) < useWhileStopping) {
			return node, true
		}
	}
	return 0, false
}

// get returns a connection to some node. It reuses an idle one unless fresh is set. The only error is errNoNodeAccepts.
func (p *connPool) get(pick uint64, fresh bool) (*conn, error) {
	tried := map[int]bool{}
	for {
		node, ok := p.choose(pick, tried)
		if !ok {
			return nil, errNoNodeAccepts
		}
		if c := p.takeIdle(node); c != nil && !fresh {
			return c, nil
		} else if c != nil {
			p.drop(c)
		}
		c, err := p.dial(node)
		if err == nil {
			return c, nil
		}
		tried[node] = true
		p.mu.Lock()
		p.excludedUntil[node] = time.Now().Add(excludeFor)
		p.mu.Unlock()
	}
}

// dial opens a connection to a node.
func (p *connPool) dial(node int) (*conn, error) {
	nc, err := net.DialTimeout("tcp", p.nodes[node], dialTimeout)
	if err != nil {
		return nil, err
	}
	if l := p.links[node]; l != nil {
		nc = l.Wrap(nc)
	}
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, 2048), node: node}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = nc.Close()
		return nil, errNoNodeAccepts
	}
	p.open[c] = struct{}{}
	return c, nil
}

// takeIdle removes an idle connection to a node from the pool and returns it, or nil if there is none. It closes idle
// connections that are too old or were reset.
func (p *connPool) takeIdle(node int) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[node]); n > 0; n = len(p.idle[node]) {
		c := p.idle[node][n-1]
		p.idle[node] = p.idle[node][:n-1]
		if time.Since(c.idleSince) < maxIdle && !c.resetByLab {
			return c
		}
		delete(p.open, c)
		_ = c.Close()
	}
	return nil
}

// put returns a connection to the pool as idle, or closes it if it can't be reused.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.resetByLab || p.closed {
		delete(p.open, c)
		_ = c.Close()
		return
	}
	c.idleSince, c.used = time.Now(), true
	p.idle[c.node] = append(p.idle[c.node], c)
}

// drop closes a connection and removes it from the pool.
func (p *connPool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// wasReset reports whether a fault injected by the lab broke the connection.
func (p *connPool) wasReset(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.resetByLab
}

// reset resets all connections to a node, as happens if a network link comes back with another address.
func (p *connPool) reset(node int) {
	p.mu.Lock()
	var affected []*conn
	for c := range p.open {
		if c.node == node {
			c.resetByLab = true
			affected = append(affected, c)
		}
	}
	p.mu.Unlock()
	for _, c := range affected {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if l, ok := c.Conn.(*netfault.Conn); ok {
			l.Reset()
		}
		_ = c.Close()
	}
}

// halfClose half-closes all connections to a node. Responses to requests in flight still arrive. Sending another request on
// such a connection fails, as if it had raced with a close.
func (p *connPool) halfClose(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.node == node {
			_ = h.CloseWrite()
		}
	}
}

// close closes all connections. No connection can be opened afterwards.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open = map[*conn]struct{}{}
	p.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}
