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
	// lingerTime and lingerBytes limit how long, and for how many unread bytes, Close keeps reading so that the client gets the
	// last response. Closing a connection with unread bytes at once would reset it.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// pastDeadline is a read deadline that makes the pending read and every later read fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is a client's connection. It is idle while it is between two requests. The node may close a connection only if it is
// idle or its request is incomplete, so conn records these states.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	server *Server
	opened time.Time

	mu                sync.Mutex
	idle              bool   // waiting for a request's first byte
	inFlight          bool   // a request was read and has no response yet
	uploading         bool   // the rest of the body of the request in flight is still being read
	handled           bool   // the response to the latest request is ready, but may not be written yet
	nodeCloseReason   string // why the node closes the connection; "" if it does not
	closingIncomplete bool   // closing with an incomplete request: only bytes that have already arrived are read
	closeReason       string // why the connection ends; only the first reason is kept; "" if there is none yet

	idleSince    time.Time
	lastRead     time.Time
	requestBegan time.Time // arrival of the current request's first byte; for the first request, when the connection was accepted
	requests     int       // requests whose head was read

	closing closeVisibility
	ahead   readAhead

	memory requestMemory

	tracked        []trackedRequest // requests whose responses are not yet completely written to the kernel
	responseBroken bool             // a response was aborted before its end

	// Only the goroutine that serves the connection uses these fields.
	framing         headFraming
	forwarded       bool           // the current request was passed to the handler
	localResponseAt time.Time      // when the latest response was ready, if it needed no server; else zero
	largeBody       *body.File     // body of the current request if it is large, else nil
	bodyRemainder   *minRateReader // reads the part of largeBody that is not yet stored
}

func newConn(tcpConn *net.TCPConn, s *Server) (*conn, error) {
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{
		Conn:         tcpConn,
		raw:          raw,
		server:       s,
		opened:       now,
		requestBegan: now,
		idleSince:    now,
		lastRead:     now,
		closing:      closeVisibility{seenOpen: now},
		idle:         true,
	}
	if err := raw.Control(c.checkBacklog); err != nil {
		return nil, err
	}
	return c, nil
}

// checkBacklog corrects seenOpen for a connection that was accepted late, with so many unread bytes that its client may have closed it.
func (c *conn) checkBacklog(fd uintptr) {
	if !closeMayBeUnseen(fd) {
		return
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil {
		c.closing.seenOpen = c.opened.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
	}
}

// Read records when bytes arrive and, if reading ends, the reason why.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead()
	if n, arrivedAt := c.takeAhead(p); n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordArrival(arrivedAt)
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.mayHavePendingRequest() && c.hasUnread() {
		n, err = c.readPendingRequest(p, n, err)
	}
	now := time.Now()
	arrived := now
	if n > 0 {
		arrived = now.Add(-c.kernelBufferTime())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if n < len(p) { // nothing is left unread, so a close would have been seen
			c.closing.seenOpen = now
		}
		c.recordArrival(arrived)
		return n, err
	}
	if c.nodeCloseReason != "" {
		c.setCloseReason(c.nodeCloseReason)
	}
	if c.nodeCloseReason != "" && c.idle {
		return 0, io.EOF // for any other error the server would send a response although there is no request
	}
	c.setCloseReason(c.readFailureReason(err))
	return n, err
}

// beginRead marks the connection as idle if its latest request was handled. The server reads again only after it has written
// the response.
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

// readPendingRequest reads a request that arrived while the node was closing the connection because of a shutdown, an eviction
// or the idle timeout. Such a request is still served. If no new deadline can be set, it returns n and err, the results of
// the previous read.
func (c *conn) readPendingRequest(p []byte, n int, err error) (int, error) {
	if deadlineErr := c.Conn.SetReadDeadline(time.Now().Add(headTimeout)); deadlineErr == nil {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.isClosingIncomplete() { // the rest of the request must have arrived already
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a broken connection
	}
	return n, err
}

// recordArrival records when bytes arrived. The caller must hold c.mu.
func (c *conn) recordArrival(at time.Time) {
	if c.idle && c.requests > 0 { // the first request begins when the connection is accepted
		c.requestBegan = at
	}
	c.idle = false
	c.lastRead = at
}

// readFailureReason returns the close reason for a read that returned no bytes. The caller must hold c.mu.
func (c *conn) readFailureReason(err error) string {
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
		return closeClientAborted
	}
	return closeClientReset
}

// kernelBufferTime returns how long the bytes just read were waiting in the kernel's buffer. Read subtracts this time from the
// arrival time. Otherwise a request that waited in the buffer during a pause of the process or behind a long backlog would count
// as new, and the node would forward it although its client has already given up.
func (c *conn) kernelBufferTime() time.Duration { return socket.BufferTime(c.raw) }

// hasUnread reports whether there are unread bytes, in the kernel's buffer or read ahead.
func (c *conn) hasUnread() bool {
	if c.hasAhead() {
		return true
	}
	unread := false
	_ = c.raw.Control(func(fd uintptr) { // fails on a closed connection, which has no unread bytes
		n, err := socket.Peek(fd)
		unread = err == nil && n > 0
	})
	return unread
}

// SetReadDeadline sets the read deadline, unless the node is closing the connection. The HTTP server sets a deadline whenever
// it begins to read, which must not replace pastDeadline on a connection that is being closed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	closingIdle := c.nodeCloseReason != "" && c.idle
	if c.closingIncomplete || closingIdle {
		return nil
	}
	if firstRequestDeadline := c.requestBegan.Add(headTimeout); c.requests == 0 && deadline.After(firstRequestDeadline) {
		deadline = firstRequestDeadline // the kernel may have deferred the connection for a part of headTimeout
	}
	return c.Conn.SetReadDeadline(deadline)
}

// LastRead returns when the latest bytes arrived.
func (c *conn) LastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// Reset makes Close reset the connection, so that the client does not mistake an incomplete response for a complete one.
func (c *conn) Reset() {
	c.mu.Lock()
	c.responseBroken = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a broken connection
	}
}

// Close closes the connection. If there are unread bytes or the request was rejected, it first reads and discards bytes for up
// to lingerTime, so that the client gets the last response.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.closeReason == closeBadRequest
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (linger || c.hasUnread()) {
		if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes) // an error does not matter for discarded bytes
		}
	}
	return c.Conn.Close()
}
