package ingress

import (
	"errors"
	"syscall"
	"time"

	"tackhub.example/tackhub/internal/socket"
)

// peekResult is what a look at a connection shows.
type peekResult int

const (
	peekNothing peekResult = iota
	peekData
	peekClosed
)

// peek looks at what has come on a connection and consumes nothing. A close behind unread bytes counts as a close: a client
// may have sent more than its request and gone.
func peek(fd uintptr) peekResult {
	n, err := socket.Peek(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return peekNothing
	case err == nil && n > 0 && !socket.PeerClosed(fd):
		return peekData
	}
	return peekClosed
}

// Disconnected reports whether the client has closed the connection already.
func (c *conn) Disconnected() bool {
	seen := peekNothing
	err := c.raw.Control(func(fd uintptr) { seen = peek(fd) })
	return err != nil || seen == peekClosed
}

// WatchDisconnect closes left when the client closes the connection, until stop is called. It only peeks, so that no byte of
// the next request is lost, and goes on behind such bytes: whatever comes wakes it once.
func (c *conn) WatchDisconnect() (left <-chan struct{}, stop func()) {
	disconnected := make(chan struct{})
	done := make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{}) // the request was read before its deadline
	go func() {
		defer close(done)
		seen := peekNothing
		err := c.raw.Read(func(fd uintptr) bool {
			seen = peek(fd)
			return seen == peekClosed
		})
		if err == nil && seen == peekClosed {
			close(disconnected)
		}
	}()
	return disconnected, func() {
		_ = c.Conn.SetReadDeadline(inThePast) // wakes the goroutine
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
