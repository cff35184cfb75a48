package ingress

import (
	"errors"
	"syscall"
	"time"

	"tackhub.example/tackhub/internal/socket"
)

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
	err := c.raw.Control(func(fd uintptr) { result = peek(fd) })
	return err != nil || result == peekClosed
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
