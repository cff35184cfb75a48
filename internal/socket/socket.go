// Package socket inspects sockets without consuming received bytes, and classifies the errors of system calls on sockets.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The functions below repeat a system call that a signal interrupted (EINTR). Otherwise the caller would treat the failure as
// "no data available" and wait until further data arrives.

// Peek checks for received data without consuming it. It returns the number of bytes found, which is 0 or 1, and the error of
// recvfrom(2), which is EAGAIN if no data is available. The result 0, nil means that the peer has closed the connection.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// minBufferTime is the shortest time in the kernel's buffer that is taken into account, because the kernel measures it in ticks of up to
// 10 ms.
const minBufferTime = 20 * time.Millisecond

// BufferTime returns for how long the latest bytes of a TCP connection have been in the kernel's buffer. It is 0 if that is less than 20 ms or
// unknown.
func BufferTime(raw syscall.RawConn) time.Duration {
	var buffered time.Duration
	_ = raw.Control(func(fd uintptr) { buffered = BufferTimeOf(fd) }) // if it fails, the time is unknown
	return buffered
}

// BufferTimeOf is BufferTime for a descriptor.
func BufferTimeOf(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	buffered := time.Duration(info.Last_data_recv) * time.Millisecond
	if buffered < minBufferTime {
		return 0
	}
	return buffered
}

// PeerClosed reports whether the peer has closed the connection or the connection has failed, even if unread bytes remain.
func PeerClosed(fd uintptr) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return poll(fd, unix.POLLRDHUP)&closed != 0
}

// Readable reports whether a read from a connection, or an accept from a listener, would return at once.
func Readable(fd uintptr) bool { return poll(fd, unix.POLLIN)&unix.POLLIN != 0 }

// poll returns the events that are pending on a descriptor. It returns none if poll(2) fails.
func poll(fd uintptr, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			return 0
		}
		return fds[0].Revents
	}
}
