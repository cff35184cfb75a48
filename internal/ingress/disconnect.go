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

	// maxUnseenWindow is the receive window, in bytes, from which on a close is seen even if much lies unread.
	maxUnseenWindow = 64 << 10

	// maxUnseenTime is how long after a close was last visible an attempt may begin. An attempt must not begin more than 0.1 s after the
	// close; the rest is left for the time until its last byte is written.
	maxUnseenTime = 50 * time.Millisecond
)

// closeVisibility is what is known of a client's close that may lie behind unread bytes.
type closeVisibility struct {
	seenOpen time.Time // when the close, had there been one, was last visible
	unseen   bool      // the client may have closed the connection, which could not be seen
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

// Disconnected reports whether the client has closed the connection, or may have closed it more than maxUnseenTime ago.
func (c *conn) Disconnected() bool {
	result := peekNoData
	closeUnseen := false
	err := c.raw.Control(func(fd uintptr) {
		result = peek(fd)
		closeUnseen = result == peekData && closeMayBeUnseen(fd)
	})
	if err != nil || result == peekClosed {
		return true
	}
	return c.recordObservation(time.Now(), closeUnseen)
}

// recordObservation records whether a close by the client could be seen at the given time. It returns true if none could be seen for
// maxUnseenTime, and then ends the watch for a disconnect. While the body of a request is still coming, the unread bytes are its own, and
// no attempt can begin before they are read.
func (c *conn) recordObservation(now time.Time, closeUnseen bool) (mayBeClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !closeUnseen {
		c.closing.seenOpen = now
		return false
	}
	if c.uploading || now.Sub(c.closing.seenOpen) <= maxUnseenTime {
		return false
	}
	c.setCloseReason(closeClientUnseen)
	c.closing.unseen = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // ends the pending read of WatchDisconnect
	return true
}

// mayBeClosed reports whether recordObservation has found that the client may have closed the connection.
func (c *conn) mayBeClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.unseen
}

// closeMayBeUnseen reports whether so much lies unread on a connection that the client may have to hold further bytes back, and its close
// with them.
func closeMayBeUnseen(fd uintptr) bool {
	unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	if err != nil || unread < minUnseenBytes {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.Rcv_wnd < maxUnseenWindow // kernels before 6.2 do not tell the window: it is 0 then
}

// WatchDisconnect returns a channel that is closed when the client closes the connection, and a function that stops the watch.
// The watch only peeks, so that no byte of a following request is lost. The watch continues when such bytes arrive; its
// goroutine wakes up once for each arrival.
func (c *conn) WatchDisconnect() (clientClosed <-chan struct{}, stop func()) {
	disconnected := make(chan struct{})
	done := make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{}) // the request is complete, so its read deadline no longer applies
	go func() {
		defer close(done)
		result := peekNoData
		err := c.raw.Read(func(fd uintptr) bool {
			result = peek(fd)
			return result == peekClosed
		})
		if err == nil && result == peekClosed || c.mayBeClosed() {
			close(disconnected)
		}
	}()
	return disconnected, func() {
		_ = c.Conn.SetReadDeadline(pastDeadline) // ends the goroutine's pending read
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
