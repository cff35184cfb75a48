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
	// maxListBytes bounds the size of a response. A list of ten thousand servers is smaller.
	maxListBytes = 8 << 20

	// idleConnTimeout is how long a connection to discovery may be idle before it is closed.
	idleConnTimeout = time.Minute

	// maxDialTimeout bounds the time to open a connection to discovery. A call cannot be aborted while it waits for a connection,
	// so SetAddress takes effect after this time at the latest.
	maxDialTimeout = 1500 * time.Millisecond
)

// abortDelay is how long an aborted transport keeps its connections open, so that a response which discovery has already written
// is read. The protocol considers this node notified of it.
const abortDelay = 50 * time.Millisecond

// errAborted reports that the transport was aborted and opens no more connections.
var errAborted = errors.New("transport aborted: discovery was switched to a new transport")

// Dial opens a connection to discovery within a timeout.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: faults.Connect}
	return dialer.Dial("tcp", address)
}

// transport holds the connections to discovery at one address. It is aborted when the address changes, which ends a watch in flight
// at once; otherwise the client would switch to the new address seconds later.
type transport struct {
	client   *fasthttp.HostClient
	dialFunc Dial

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	aborted bool
}

// trackedConn is a connection that removes itself from its transport when it is closed.
type trackedConn struct {
	net.Conn
	transport *transport
}

func newTransport(address string, openConn Dial) *transport {
	t := &transport{dialFunc: openConn, conns: map[*trackedConn]struct{}{}}
	t.client = &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxHedgedCalls + 1,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxListBytes,
		MaxIdleConnDuration:       idleConnTimeout,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		DialTimeout:               t.dial,
	}
	return t
}

// dial opens a connection and registers it. It returns errAborted if the transport was aborted meanwhile.
func (t *transport) dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := t.dialFunc(address, min(timeout, maxDialTimeout))
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aborted {
		_ = conn.Close()
		return nil, errAborted
	}
	registered := &trackedConn{conn, t}
	t.conns[registered] = struct{}{}
	return registered, nil
}

// abort opens no more connections, and closes all of them after abortDelay, which makes the calls on them fail.
func (t *transport) abort() {
	t.mu.Lock()
	t.aborted = true
	t.mu.Unlock()
	time.AfterFunc(abortDelay, t.closeAll)
}

func (t *transport) closeAll() {
	t.mu.Lock()
	conns := make([]*trackedConn, 0, len(t.conns))
	for conn := range t.conns {
		conns = append(conns, conn)
	}
	t.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Close closes the connection and removes it from its transport.
func (c *trackedConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}
