package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// lingerTime and lingerBytes bound how long a connection that closes with unread bytes is kept open, so that its last
	// response arrives: closing at once would reset it.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10

	// minKernelTime is the shortest time in the kernel's buffer that is believed: the kernel counts in ticks of up to 10 ms.
	minKernelTime = 20 * time.Millisecond
)

// inThePast is a deadline that ends a pending read, and every later one.
var inThePast = time.Unix(1, 0)

// conn is a client's connection. It knows whether it is idle, that is between requests: only then the node may close it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	server *Server
	opened time.Time

	mu          sync.Mutex
	idle        bool   // waiting for a request's first byte
	inFlight    bool   // a request was read and has no response yet ...
	uploading   bool   // ... but for the rest of a large body
	handled     bool   // the last request has its response, which may not be written yet
	closing     string // why the node closes the connection; "": it does not
	cutShort    bool   // closing with an incomplete request: only what has already come is read
	closeReason string // why the connection ends, which the first cause decides; "": it does not

	idleSince    time.Time
	lastRead     time.Time
	requestBegan time.Time // when the first byte of the current request came
	requests     int

	tracked        []trackedRequest // requests whose responses are not all handed to the kernel
	responseBroken bool             // a response was broken off

	// The connection's goroutine alone uses these.
	largeBody *body.File   // of the current request
	bodyRest  *pacedReader // what is still to come of largeBody
}

func newConn(nc *net.TCPConn, s *Server) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &conn{
		Conn:         nc,
		raw:          raw,
		server:       s,
		opened:       now,
		requestBegan: now,
		idleSince:    now,
		lastRead:     now,
		idle:         true,
	}, nil
}

// Read notes when bytes come, and why none come any more.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveCrossed() && c.hasUnread() {
		n, err = c.readCrossed(p, n, err)
	}
	arrived := time.Now()
	if n > 0 {
		arrived = arrived.Add(-c.timeInKernel())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.noteArrival(arrived)
		return n, err
	}
	if c.closing != "" {
		c.setCloseReason(c.closing)
	}
	if c.closing != "" && c.idle {
		return 0, io.EOF // with another error the server would respond to a request that never came
	}
	c.setCloseReason(c.readFailure(err))
	return n, err
}

// beginRead makes the connection idle if its last request was handled: the server reads on only once the response is written.
func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled {
		c.handled = false
		c.idle = true
		c.idleSince = time.Now()
		c.release(false)
	}
}

// readCrossed reads a request that arrived just as the node closed the connection, for a shutdown, for room or after the idle
// timeout. It is here, so it is served. N and err are what the read before returned.
func (c *conn) readCrossed(p []byte, n int, err error) (int, error) {
	if deadlineErr := c.Conn.SetReadDeadline(time.Now().Add(headTimeout)); deadlineErr == nil {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.isCutShort() { // the rest of it must be here as well
		_ = c.Conn.SetReadDeadline(inThePast) // it fails only on a broken connection
	}
	return n, err
}

// noteArrival notes that bytes came. The caller holds the lock.
func (c *conn) noteArrival(at time.Time) {
	if c.idle && c.requests > 0 { // the first request's time is counted from the connection's beginning
		c.requestBegan = at
	}
	c.idle = false
	c.lastRead = at
}

// readFailure is the reason of a read that returned no bytes. The caller holds the lock.
func (c *conn) readFailure(err error) string {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	ended := errors.Is(err, io.EOF)
	switch {
	case timedOut && c.idle:
		return closeIdleTimeout
	case timedOut:
		return closeSlowRequest
	case ended && c.idle:
		return closeClientClosed
	case ended:
		return closeClientCut
	}
	return closeClientReset
}

// timeInKernel is how long what was just read has waited in the kernel's buffer. After a pause of the process, or behind a
// long backlog, an old request would otherwise count as new, and the node would work for a client that has given up.
func (c *conn) timeInKernel() time.Duration {
	var waited time.Duration
	_ = c.raw.Control(func(fd uintptr) { // where it fails nothing is known to have waited
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if waited < minKernelTime {
		return 0
	}
	return waited
}

// hasUnread reports whether bytes have come that were not read.
func (c *conn) hasUnread() bool {
	unread := false
	_ = c.raw.Control(func(fd uintptr) { // it fails on a closed connection, which has none
		n, err := socket.Peek(fd)
		unread = err == nil && n > 0
	})
	return unread
}

// Write notes a failure: the client did not get its response.
func (c *conn) Write(p []byte) (int, error) {
	deadlineErr := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	err = errors.Join(err, deadlineErr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.closeReason == "" {
			c.server.options.Counters.Requests.Unsent.Inc()
		}
		c.setCloseReason(closeWriteFailed)
	}
	return n, err
}

// SetReadDeadline sets the deadline, unless the node closes the connection: the server sets one as it begins to read, and that
// must not undo the closing.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	closingIdle := c.closing != "" && c.idle
	if c.cutShort || closingIdle {
		return nil
	}
	if first := c.requestBegan.Add(headTimeout); c.requests == 0 && t.After(first) {
		t = first // the kernel may have held the connection back for a part of its time
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing: each write sets its own, since a large response may take long in all.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LastRead is when the latest bytes came.
func (c *conn) LastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// Reset makes the connection end with a reset, so that the client does not take a broken response for a complete one.
func (c *conn) Reset() {
	c.mu.Lock()
	c.responseBroken = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only on a broken connection
	}
}

// Close closes the connection. Where bytes have come that are not read it lets the last response arrive first.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.closeReason == closeBadRequest
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (linger || c.hasUnread()) {
		if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes) // what comes is discarded anyway
		}
	}
	return c.Conn.Close()
}
