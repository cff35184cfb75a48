package discovery

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/faults"
)

// errCut says that discovery is no longer followed at this address.
var errAborted = errors.New("discovery has another address")

// Dial opens a connection to discovery.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: faults.Connect}
	return dialer.Dial("tcp", address)
}

// source is one address of discovery with the connections to it. It is cut when discovery moves: a held call
// then ends at once, where it would else keep the node from following the new address for seconds.
type transport struct {
	client *fasthttp.HostClient
	open   Dial

	mu      sync.Mutex
	conns   map[*transportConn]struct{}
	aborted bool
}

// sourceConn takes itself off its source's list when it closes.
type transportConn struct {
	net.Conn
	transport *transport
}

func newTransport(address string, open Dial) *transport {
	s := &transport{open: open, conns: map[*transportConn]struct{}{}}
	s.client = &fasthttp.HostClient{Addr: address, MaxConns: maxHedgedCalls + 1, MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize: maxListBytes, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, DialTimeout: s.dial}
	return s
}

func (s *transport) dial(address string, timeout time.Duration) (net.Conn, error) {
	nc, err := s.open(address, min(timeout, maxDialTimeout))
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted { // discovery moved while the connection came up
		_ = nc.Close()
		return nil, errAborted
	}
	c := &transportConn{nc, s}
	s.conns[c] = struct{}{}
	return c, nil
}

// cutOff ends all calls, the one that is out as well.
func (s *transport) abort() {
	s.mu.Lock()
	s.aborted = true
	open := make([]*transportConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close() // the call on it fails, which is what is wanted
	}
}

// Close frees the descriptor.
func (c *transportConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// Follow goes on with discovery at another address, or anew at the same one: the call that is out is ended and
// the whole list is taken. Until it is in, the servers' addresses and the module's list stay.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	old := c.transport
	c.transport = newTransport(address, c.dial)
	select { // before anyone can see the new source, so that no wait is woken later for a move long made
	case c.addressChanged <- struct{}{}:
	default:
	}
	c.mu.Unlock()
	old.abort()
}

// Refetch asks for the whole list again, where discovery is followed already: whoever takes the news has changed.
func (c *Client) Refetch() {
	if c.running.Load() {
		c.SetAddress(c.currentTransport().client.Addr)
	}
}

func (c *Client) currentTransport() *transport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.transport
}
