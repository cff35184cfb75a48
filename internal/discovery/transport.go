package discovery

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/faults"
)

const (
	// maxListBytes bounds an answer. A list of ten thousand servers is smaller.
	maxListBytes = 8 << 20

	// maxIdleConn is how long a connection to discovery may be idle before it is closed.
	maxIdleConn = time.Minute

	// maxDialTimeout is how long a connection to discovery may take to come up. A call cannot be aborted while it waits for
	// one, so that SetAddress takes effect after this time at the latest.
	maxDialTimeout = 1500 * time.Millisecond
)

// errAborted says that discovery is no longer called at this address.
var errAborted = errors.New("discovery has another address")

// Dial opens a connection to discovery.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: faults.Connect}
	return dialer.Dial("tcp", address)
}

// transport holds the connections to discovery at one address. It is aborted when the address changes: a watch in flight
// then ends at once, where it would else keep the client from the new address for seconds.
type transport struct {
	client *fasthttp.HostClient
	open   Dial

	mu      sync.Mutex
	conns   map[*transportConn]struct{}
	aborted bool
}

// transportConn removes itself from its transport when it is closed.
type transportConn struct {
	net.Conn
	transport *transport
}

func newTransport(address string, open Dial) *transport {
	t := &transport{open: open, conns: map[*transportConn]struct{}{}}
	t.client = &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxHedgedCalls + 1,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxListBytes,
		MaxIdleConnDuration:       maxIdleConn,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		DialTimeout:               t.dial,
	}
	return t
}

// dial opens a connection and registers it; errAborted if the transport was aborted meanwhile.
func (t *transport) dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := t.open(address, min(timeout, maxDialTimeout))
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aborted {
		_ = conn.Close()
		return nil, errAborted
	}
	registered := &transportConn{conn, t}
	t.conns[registered] = struct{}{}
	return registered, nil
}

// abort closes all connections, so that the calls on them fail.
func (t *transport) abort() {
	t.mu.Lock()
	t.aborted = true
	conns := make([]*transportConn, 0, len(t.conns))
	for conn := range t.conns {
		conns = append(conns, conn)
	}
	t.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Close closes the connection.
func (c *transportConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}
