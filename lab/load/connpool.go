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
	// excludeFor is how long the pool keeps clients away from a node whose connections were refused.
	excludeFor = 500 * time.Millisecond

	// maxIdle is how long a client keeps an idle connection: shorter than the node does, so that a close seldom races
	// with a request.
	maxIdle = 2 * time.Second

	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second

	// sendWhileStopping is how long connections to a stopping node are still dealt out: 0.4 s at most by the platform.
	sendWhileStopping = 400 * time.Millisecond
)

// connPool distributes the clients' connections over the nodes, as a balancer in front of them would.
type connPool struct {
	nodes       []string
	links       []*netfault.Link             // by node; nil: nothing is done to it
	stoppingFor func(node int) time.Duration // how long a node's planned stop has been going on; nil: not known

	mu            sync.Mutex
	excludedUntil []time.Time // by node
	idle          [][]*conn
	open          map[*conn]struct{}
	closed        bool
}

// conn is one client's connection.
type conn struct {
	net.Conn
	r         *bufio.Reader
	node      int
	used      bool
	idleSince time.Time
	reset     bool // the lab itself broke it
}

// resetDelay begins a new measurement of the link's delay, where the connection is on a link.
func (c *conn) resetDelay() {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		l.ResetMaxDelay()
	}
}

// linkDelay is what the link has added since resetDelay.
func (c *conn) linkDelay() time.Duration {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		return l.MaxDelay()
	}
	return 0
}

// inTransit reports whether the link still holds bytes.
func (c *conn) inTransit() bool {
	l, ok := c.Conn.(*netfault.Conn)
	return ok && l.InFlight()
}

// errNoNode says that no node accepts connections.
var errNoNode = errors.New("no node takes connections")

// newConnPool makes a pool without connections.
func newConnPool(nodes []string, links []*netfault.Link) *connPool {
	return &connPool{nodes: nodes, links: links, excludedUntil: make([]time.Time, len(nodes)), idle: make([][]*conn, len(nodes)),
		open: map[*conn]struct{}{}}
}

// choose is the first node from a random place on that is not left out.
func (p *connPool) choose(pick uint64, not map[int]bool) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := uint64(len(p.nodes))
	for i := range n {
		node := int((pick + i) % n)
		if !not[node] && now.After(p.excludedUntil[node]) && (p.stoppingFor == nil || p.stoppingFor(node) < sendWhileStopping) {
			return node, true
		}
	}
	return 0, false
}

// get returns a connection to some node: an idle one unless a fresh one is wanted. The error is errNoNode.
func (p *connPool) get(pick uint64, fresh bool) (*conn, error) {
	tried := map[int]bool{}
	for {
		node, ok := p.choose(pick, tried)
		if !ok {
			return nil, errNoNode
		}
		if c := p.take(node); c != nil && !fresh {
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
		return nil, errNoNode
	}
	p.open[c] = struct{}{}
	return c, nil
}

// take is an idle connection to a node; nil where there is none.
func (p *connPool) take(node int) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[node]); n > 0; n = len(p.idle[node]) {
		c := p.idle[node][n-1]
		p.idle[node] = p.idle[node][:n-1]
		if time.Since(c.idleSince) < maxIdle && !c.reset {
			return c
		}
		delete(p.open, c)
		_ = c.Close()
	}
	return nil
}

// put makes a connection idle.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.reset || p.closed {
		delete(p.open, c)
		_ = c.Close()
		return
	}
	c.idleSince, c.used = time.Now(), true
	p.idle[c.node] = append(p.idle[c.node], c)
}

// drop closes a connection.
func (p *connPool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// wasReset reports whether the lab itself broke the connection.
func (p *connPool) wasReset(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.reset
}

// reset breaks all connections to a node, as a link does that comes back with another address.
func (p *connPool) reset(node int) {
	p.mu.Lock()
	var hit []*conn
	for c := range p.open {
		if c.node == node {
			c.reset = true
			hit = append(hit, c)
		}
	}
	p.mu.Unlock()
	for _, c := range hit {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if l, ok := c.Conn.(*netfault.Conn); ok {
			l.Reset()
		}
		_ = c.Close()
	}
}

// halfClose half-closes all connections to a node; what is still to be answered on them can be. A request that is sent
// on one later finds that it cannot, as one that races with a close does.
func (p *connPool) halfClose(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.node == node {
			_ = h.CloseWrite()
		}
	}
}

// close closes all connections; none can be opened afterwards.
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
