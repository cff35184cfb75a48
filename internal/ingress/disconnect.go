package ingress

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/socket"
)

const (
	// minUnseenBytes is how much of a client's bytes must lie unread for its close to be possibly unseen: half of the smallest receive
	// window. A sender may hold further bytes back until it can send half of a window.
	minUnseenBytes = 32 << 10

	// maxUnseenTime is how long after a close was last visible an attempt may begin. An attempt must not begin more than 0.1 s after the
	// close; the rest is left for the time until its last byte is written.
	maxUnseenTime = 50 * time.Millisecond

	// minWindowUpdate is the shortest time after reading ahead until the bytes that the client held back count as arrived. It is two round
	// trips if they take longer.
	minWindowUpdate = 5 * time.Millisecond
)

// closeVisibility is what is known of a client's close that may lie behind unread bytes.
type closeVisibility struct {
	seenOpen     time.Time     // when the close, had there been one, was last visible
	windowUpdate time.Duration // after reading ahead, until the bytes that the client held back have arrived
}

// peekResult is the state of a connection's receive buffer.
type peekResult int

const (
	peekNoData peekResult = iota
	peekData
	peekClosed
)

// peek returns the state of a connection without consuming bytes. It returns peekClosed even if there are unread bytes before
// the close, because a client may send bytes after its request and then disconnect.
func peek(fd uintptr) peekResult {
	n, err := socket.Peek(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return peekNoData
	case err == nil && n > 0 && !socket.PeerClosed(fd):
		return peekData
	}
	return peekClosed
}

// Disconnected reports whether the client has closed the connection.
func (c *conn) Disconnected() bool {
	result := peekNoData
	err := c.raw.Control(func(fd uintptr) { result = c.observe(fd) })
	return err != nil || result == peekClosed
}

// MayHaveDisconnected reports whether the client may have closed the connection more than maxUnseenTime ago, behind bytes that could not be
// read ahead. Nothing may begin for it then, but it may as well wait for its answers.
func (c *conn) MayHaveDisconnected() bool {
	if c.Disconnected() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.uploading && time.Since(c.closing.seenOpen) > maxUnseenTime
}

// observe returns the state of the connection's receive buffer, and records whether a close by the client could be seen. If so much lies
// unread that it could not, the unread bytes are read ahead.
func (c *conn) observe(fd uintptr) peekResult {
	result := peek(fd)
	if result == peekClosed {
		return result
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if result == peekData && (c.ahead.limited || closeMayBeUnseen(fd)) {
		c.fillAhead(fd)
		c.closing.windowUpdate = windowUpdateTime(fd)
		return peek(fd) // the end of the connection may follow at once
	}
	if time.Since(c.ahead.readAt) >= c.closing.windowUpdate {
		c.closing.seenOpen = time.Now()
	}
	return result
}

// windowUpdateTime returns how long after reading ahead the bytes that the client held back take to arrive.
func windowUpdateTime(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return minWindowUpdate
	}
	roundTrip := time.Duration(max(info.Rtt, info.Rcv_rtt)) * time.Microsecond
	return max(minWindowUpdate, 2*roundTrip)
}

// closeMayBeUnseen reports whether so much lies unread on a connection that the client may have to hold further bytes back, and its close
// with them. The receive window that the kernel reports does not show it: it is that of the last acknowledgement.
func closeMayBeUnseen(fd uintptr) bool {
	unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	return err == nil && unread >= minUnseenBytes
}

// WatchDisconnect returns a channel that is closed when the client closes the connection, and a function that stops the watch.
// No byte of a following request is lost: it is left unread or read ahead. The watch continues when such bytes arrive; its
// goroutine wakes up once for each arrival.
func (c *conn) WatchDisconnect() (clientClosed <-chan struct{}, stop func()) {
	disconnected := make(chan struct{})
	done := make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{}) // the request is complete, so its read deadline no longer applies
	go func() {
		defer close(done)
		result := peekNoData
		err := c.raw.Read(func(fd uintptr) bool {
			result = c.observe(fd)
			return result == peekClosed
		})
		if err == nil && result == peekClosed {
			close(disconnected)
		}
	}()
	return disconnected, func() {
		_ = c.Conn.SetReadDeadline(pastDeadline) // ends the goroutine's pending read
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
