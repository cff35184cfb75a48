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
var errCut = errors.New("discovery has another address")

// Dial opens a connection to discovery.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: faults.Connect}
	return dialer.Dial("tcp", address)
}

// source is one address of discovery with the connections to it. It is cut when discovery moves: a held call
// then ends at once, where it would else keep the node from following the new address for seconds.
type source struct {
	client *fasthttp.HostClient
	open   Dial

	mu    sync.Mutex
	conns map[*sourceConn]struct{}
	cut   bool
}

// sourceConn takes itself off its source's list when it closes.
type sourceConn struct {
	net.Conn
	source *source
}

func newSource(address string, open Dial) *source {
	s := &source{open: open, conns: map[*sourceConn]struct{}{}}
	s.client = &fasthttp.HostClient{Addr: address, MaxConns: insistMost + 1, MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize: maxList, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, DialTimeout: s.dial}
	return s
}

func (s *source) dial(address string, timeout time.Duration) (net.Conn, error) {
	nc, err := s.open(address, min(timeout, dialMost))
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut { // discovery moved while the connection came up
		_ = nc.Close()
		return nil, errCut
	}
	c := &sourceConn{nc, s}
	s.conns[c] = struct{}{}
	return c, nil
}

// cutOff ends all calls, the one that is out as well.
func (s *source) cutOff() {
	s.mu.Lock()
	s.cut = true
	open := make([]*sourceConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close() // the call on it fails, which is what is wanted
	}
}

// Close frees the descriptor.
func (c *sourceConn) Close() error {
	c.source.mu.Lock()
	delete(c.source.conns, c)
	c.source.mu.Unlock()
	return c.Conn.Close()
}

// Follow goes on with discovery at another address, or anew at the same one: the call that is out is ended and
// the whole list is taken. Until it is in, the servers' addresses and the module's list stay.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	old := c.source
	c.source = newSource(address, c.dial)
	select { // before anyone can see the new source, so that no wait is woken later for a move long made
	case c.moved <- struct{}{}:
	default:
	}
	c.mu.Unlock()
	old.cutOff()
}

// Refetch asks for the whole list again, where discovery is followed already: whoever takes the news has changed.
func (c *Client) Refetch() {
	if c.running.Load() {
		c.SetAddress(c.current().client.Addr)
	}
}

func (c *Client) current() *source {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.source
}
