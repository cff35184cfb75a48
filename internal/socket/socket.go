// Package socket looks at sockets without taking anything from them, and tells apart why a call on one failed. A call that a
// signal interrupted is made again: an answer of "nothing there" would be believed until something further comes.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek looks at what has come. It returns the number of bytes, at most one, and the error of recvfrom(2): EAGAIN where nothing
// has come. No byte and no error is the end.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Ended reports whether the peer's end has come or the connection has broken, whatever lies before it unread.
func PeerClosed(fd uintptr) bool {
	return poll(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable reports whether something can be read, or a connection be accepted.
func Readable(fd uintptr) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// poll gives the events of a descriptor as they are now; none where the kernel cannot tell.
func poll(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(p, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil || n == 0:
			return 0
		default:
			return p[0].Revents
		}
	}
}

// noResource are the errors with which the system says that it has no descriptor, memory or address for a call.
var noResource = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL}

// noNetwork are the errors of socket(2) and connect(2) that come from this machine before anything was sent: no route or no
// network of its own, or its own rules.
var noNetwork = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

// broken are the errors with which a listener says that it is none any more.
var broken = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// IsLocal reports whether a connection did not come up for a reason of this machine's: it says nothing of who was called.
func IsLocalFailure(err error) bool { return IsResourceExhausted(err) || is(err, noNetwork) }

// IsShort reports whether the system had no room for a call.
func IsResourceExhausted(err error) bool { return is(err, noResource) }

// IsBroken reports whether an error of accept(2) says that the listener is of no use any more.
func IsListenerBroken(err error) bool { return is(err, broken) }

func is(err error, any []syscall.Errno) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	for _, e := range any {
		if errno == e {
			return true
		}
	}
	return false
}
