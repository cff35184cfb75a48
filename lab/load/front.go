// Package load is the clients: an open loop that sends each request when the schedule says, whatever has become of the
// ones before it, so that a slow answer never thins the load (no coordinated omission). Every latency counts from the
// intended send.
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
	// excludeFor is how long the front keeps clients away from a node whose connections were refused.
	excludeFor = 500 * time.Millisecond

	// maxIdle is how long a client keeps an idle connection: shorter than the node does, so that a close seldom
	// crosses a request.
	maxIdle = 2 * time.Second

	dialTimeout = time.Second

	// sendWhileStopping is how long connections go on being dealt out to a node that ends as planned: 0.4 s at the most.
	sendWhileStopping = 400 * time.Millisecond
)

// connPool deals out connections among the nodes.
type connPool struct {
	nodes       []string
	links       []*netfault.Link             // by node; nil: a clean way
	stoppingFor func(node int) time.Duration // for how long a node's planned stop has been going on; nil: not known

	mu            sync.Mutex
	excludedUntil []time.Time // until when a node is left out
	idle          [][]*conn
	open          map[*conn]struct{}
	ended         bool
}

// conn is one client's connection.
type conn struct {
	net.Conn
	r         *bufio.Reader
	node      int
	used      bool
	idleSince time.Time // idle
	reset     bool      // broken by the lab
}

// resetDelay, delay and underWay ask the link, where the connection is on one.
func (c *conn) resetDelay() {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		l.ResetMaxDelay()
	}
}

func (c *conn) linkDelay() time.Duration {
	if l, ok := c.Conn.(*netfault.Conn); ok {
		return l.MaxDelay()
	}
	return 0
}

func (c *conn) inTransit() bool {
	l, ok := c.Conn.(*netfault.Conn)
	return ok && l.InFlight()
}

var errNoNode = errors.New("no node takes connections")

func newConnPool(nodes []string, links []*netfault.Link) *connPool {
	return &connPool{nodes: nodes, links: links, excludedUntil: make([]time.Time, len(nodes)), idle: make([][]*conn, len(nodes)),
		open: map[*conn]struct{}{}}
}

// choose is the first node from a random place on that is not left out.
func (f *connPool) choose(pick uint64, not map[int]bool) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	n := uint64(len(f.nodes))
	for i := range n {
		node := int((pick + i) % n)
		if !not[node] && now.After(f.excludedUntil[node]) && (f.stoppingFor == nil || f.stoppingFor(node) < sendWhileStopping) {
			return node, true
		}
	}
	return 0, false
}

// get gives a connection to some node: an idle one unless a fresh one is asked for.
func (f *connPool) get(pick uint64, fresh bool) (*conn, error) {
	tried := map[int]bool{}
	for {
		node, ok := f.choose(pick, tried)
		if !ok {
			return nil, errNoNode
		}
		if c := f.take(node); c != nil && !fresh {
			return c, nil
		} else if c != nil {
			f.drop(c)
		}
		c, err := f.dial(node)
		if err == nil {
			return c, nil
		}
		tried[node] = true
		f.mu.Lock()
		f.excludedUntil[node] = time.Now().Add(excludeFor)
		f.mu.Unlock()
	}
}

func (f *connPool) dial(node int) (*conn, error) {
	nc, err := net.DialTimeout("tcp", f.nodes[node], dialTimeout)
	if err != nil {
		return nil, err
	}
	if l := f.links[node]; l != nil {
		nc = l.Wrap(nc)
	}
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, 2048), node: node}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		_ = nc.Close()
		return nil, errNoNode
	}
	f.open[c] = struct{}{}
	return c, nil
}

func (f *connPool) take(node int) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(f.idle[node]); n > 0; n = len(f.idle[node]) {
		c := f.idle[node][n-1]
		f.idle[node] = f.idle[node][:n-1]
		if time.Since(c.idleSince) < maxIdle && !c.reset {
			return c
		}
		delete(f.open, c)
		_ = c.Close()
	}
	return nil
}

func (f *connPool) put(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.reset || f.ended {
		delete(f.open, c)
		_ = c.Close()
		return
	}
	c.idleSince, c.used = time.Now(), true
	f.idle[c.node] = append(f.idle[c.node], c)
}

func (f *connPool) drop(c *conn) {
	_ = c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}

// wasReset tells whether the lab itself broke the connection.
func (f *connPool) wasReset(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.reset
}

// reset breaks all connections to a node, as a link does that comes back with another address.
func (f *connPool) reset(node int) {
	f.mu.Lock()
	var hit []*conn
	for c := range f.open {
		if c.node == node {
			c.reset = true
			hit = append(hit, c)
		}
	}
	f.mu.Unlock()
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

// halfClose ends the sending on all connections to a node; what is still to be answered on them can be. A request that is
// sent on one later finds that it cannot, as one that crosses a close does.
func (f *connPool) halfClose(node int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.node == node {
			_ = h.CloseWrite()
		}
	}
}

func (f *connPool) close() {
	f.mu.Lock()
	f.ended = true
	open := f.open
	f.open = map[*conn]struct{}{}
	f.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}
