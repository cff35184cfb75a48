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
	"tackhub.example/tackhub/internal/proxy"
	"tackhub.example/tackhub/internal/socket"
)

// The reason codes with which a client's connection ends, besides those that an exchange gives;
// docs/oncall.md lists them.
const (
	endClosed  = "client_closed"        // between requests
	endCut     = "client_cut"           // with a request half sent
	endReset   = "client_reset"         // broken by the client or the network
	endIdle    = "idle"                 // nothing came for the idle time
	endSlow    = "slow_request"         // a request did not arrive whole in time
	endBad     = proxy.ReasonBadRequest // what came could not be read as a request
	endWrite   = "write_failed"         // the answer could not be written
	endEvicted = "descriptor_limit"     // idle, and closed to make room
	endDrained = "drained"              // the node is ending
	endOther   = "ended"                // none of these
)

// lingerFor bounds how long a connection that ends with unread bytes is kept, so that its last answer arrives:
// closing at once would reset it.
const (
	lingerFor   = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// waitedLeast is the shortest wait in the kernel that is believed: it counts in ticks of up to 10 ms.
const waitedLeast = 20 * time.Millisecond

// conn is a client's connection. It knows whether it stands between requests, which is the only moment at
// which the node may close it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	server *Server
	opened time.Time

	mu        sync.Mutex
	idle      bool // waiting for a request's first byte
	handled   bool // the last request has its answer, which may yet be written
	closing   string
	reason    string
	lastRead  time.Time
	since     time.Time // idle since
	requests  int
	began     time.Time // the request that is coming or in hand
	cutShort  bool      // made way with a request that was not whole: only what is here already is read
	busy      bool      // a request is in hand: whole, and not yet answered ...
	uploading bool      // ... but for the rest of a large body

	taken  []accounted // requests whose answers are not all handed to the kernel yet
	broken bool        // an answer was broken off

	large *body.File // of the request in hand; the connection's goroutine alone has it and what is still to come of it
	rest  *pacedBody
}

func newConn(nc *net.TCPConn, s *Server) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &conn{Conn: nc, raw: raw, server: s, opened: now, began: now, since: now, lastRead: now, idle: true}, nil
}

// Read notes the time of what comes and why nothing comes any more.
func (c *conn) Read(p []byte) (int, error) {
	c.await()
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveCrossed() && c.waiting() {
		// The request crossed our closing, for a drain, for room or after the idle time: it is here, so it is
		// taken.
		if derr := c.Conn.SetReadDeadline(time.Now().Add(headTime)); derr == nil {
			n, err = c.Conn.Read(p)
		}
		if n > 0 && c.isCutShort() { // the rest of it must be here as well
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it fails on a broken connection alone
		}
	}
	came := time.Now()
	if n > 0 {
		came = came.Add(-c.waited())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.idle && c.requests > 0 { // the first one's time runs from the connection's beginning
			c.began = came
		}
		c.idle, c.lastRead = false, came
		return n, err
	}
	if c.closing != "" {
		c.end(c.closing)
	}
	if c.closing != "" && c.idle {
		return 0, io.EOF // else the server would answer a request that never came
	}
	c.end(c.readReason(err))
	return n, err
}

// waited is how long what was just read had lain in the kernel. A node that stood still, or whose backlog was
// long, would else take an old request for a new one and work for a client that has gone.
func (c *conn) waited() time.Duration {
	var lay time.Duration
	_ = c.raw.Control(func(fd uintptr) { // without an answer nothing is known to have waited
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			lay = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if lay < waitedLeast {
		return 0
	}
	return lay
}

// await marks the connection as between requests if its last one was handled: reading goes on only once the
// answer is written.
func (c *conn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled {
		c.handled, c.idle, c.since = false, true, time.Now()
		c.release(false)
	}
}

func (c *conn) readReason(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.idle:
		return endIdle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endSlow
	case errors.Is(err, io.EOF) && c.idle:
		return endClosed
	case errors.Is(err, io.EOF):
		return endCut
	}
	return endReset
}

// end notes the reason; the first one stands.
func (c *conn) end(reason string) {
	if c.reason == "" {
		c.reason = reason
	}
}

// Ends gives the reason why the connection ends.
func (c *conn) SetCloseReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(reason)
}

// Write notes a failure: the client did not get its answer.
func (c *conn) Write(p []byte) (int, error) {
	derr := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	err = errors.Join(err, derr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.reason == "" {
			c.server.o.Count.Requests.Unsent.Inc()
		}
		c.end(endWrite)
	}
	return n, err
}

// LastRead is when the latest bytes came.
func (c *conn) LastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// closeReason tells why the connection is to end with its next answer, or "".
func (c *conn) closeReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing == "" && (c.server.draining() || c.server.AdminDrained()) {
		return endDrained
	}
	return c.closing
}

// mayHaveCrossed tells whether what comes now may have crossed our closing.
func (c *conn) mayHaveCrossed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle || c.cutShort
}

// silentFor is how long nothing has come on a connection whose request is not whole yet; false where it has none such.
func (c *conn) silentFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead), !c.idle && !c.busy && !c.handled && c.closing == ""
}

// endIncomplete ends a connection whose request is not whole. Should the rest have come meanwhile it is still served.
func (c *conn) endIncomplete(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.busy && !c.uploading || c.handled || c.cutShort {
		return false
	}
	if c.closing != "" && reason != endDrained {
		return false // its request crossed the end of a connection that makes way already
	}
	if c.closing == "" {
		c.closing = reason
	}
	c.cutShort = true
	return c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}

func (c *conn) isCutShort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutShort
}

// closeWhenIdle ends the connection if it stands between requests. A request that has arrived meanwhile is still served.
func (c *conn) closeWhenIdle(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closing != "" {
		return false
	}
	c.closing = reason
	return c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// SetReadDeadline leaves the end that a closing connection was given: the server sets its own as it begins to read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutShort || c.closing != "" && c.idle {
		return nil
	}
	if first := c.began.Add(headTime); c.requests == 0 && t.After(first) {
		t = first // the kernel may have kept it for a part of its time
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing: each write has its own, since a large answer may take long in all.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Reset has the connection end in a way that the client can tell from a whole answer's end.
func (c *conn) Reset() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails on a connection that is broken anyway
	}
}

// closesFor tells whether the connection was told to end for a reason.
func (c *conn) closesFor(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing == reason
}

// idleFor is how long the connection has stood between requests; false if it does not.
func (c *conn) idleFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.since), c.idle && c.closing == ""
}

// waiting tells whether bytes have come that nobody has read.
func (c *conn) waiting() bool {
	got := false
	_ = c.raw.Control(func(fd uintptr) { // a closed connection has none
		n, err := socket.Peek(fd)
		got = err == nil && n > 0
	})
	return got
}

// What a look at a connection shows.
const (
	peekNothing = iota
	peekData
	peekEnd
)

// peek looks at what has come, and takes nothing. An end behind bytes that nobody has read is an end: a client may have
// sent more than its request and gone.
func peek(fd uintptr) int {
	n, err := socket.Peek(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return peekNothing
	case err == nil && n > 0 && !socket.PeerClosed(fd):
		return peekData
	}
	return peekEnd
}

// Left tells whether the client has gone already.
func (c *conn) Disconnected() bool {
	seen := peekNothing
	err := c.raw.Control(func(fd uintptr) { seen = peek(fd) })
	return err != nil || seen == peekEnd
}

// Watch tells when the client leaves, until stop is called. It only peeks, so that no byte of the next
// request is lost, and looks on behind such bytes: each thing that comes wakes it once.
func (c *conn) WatchDisconnect() (<-chan struct{}, func()) {
	left, done := make(chan struct{}), make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{}) // the request's own has been kept
	go func() {
		defer close(done)
		seen := peekNothing
		err := c.raw.Read(func(fd uintptr) bool {
			seen = peek(fd)
			return seen == peekEnd
		})
		if err == nil && seen == peekEnd {
			close(left)
		}
	}()
	return left, func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the watcher
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// Close ends the connection. Where something has come that nobody will read it lets the last answer arrive
// first.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.reason == endBad
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (linger || c.waiting()) {
		if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes) // it is given up anyway
		}
	}
	return c.Conn.Close()
}
