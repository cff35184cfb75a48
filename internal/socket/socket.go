// Package socket inspects sockets without consuming anything from them, and classifies the errors of system calls on them.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// A system call that a signal has interrupted (EINTR) is repeated here. Its failure would count as "nothing has come", and the
// caller would wait until something further comes.

// Peek looks at what has come. It returns the number of bytes, at most one, and the error of recvfrom(2): EAGAIN where nothing
// has come. No byte and no error stand for the peer's close.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// PeerClosed reports whether the peer has closed the connection or it has broken, even if unread bytes precede that.
func PeerClosed(fd uintptr) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return poll(fd, unix.POLLRDHUP)&closed != 0
}

// Readable reports whether something can be read from a connection, or a connection be accepted from a listener.
func Readable(fd uintptr) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// poll returns the events that hold for a descriptor now; none where poll(2) fails.
func poll(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(p, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			return 0
		}
		return p[0].Revents
	}
}
