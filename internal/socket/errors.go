package socket

import (
	"errors"
	"slices"
	"syscall"
)

var (
	// resourceErrors are returned if the system has no free descriptor, memory or address for a call.
	resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
		syscall.EADDRNOTAVAIL}

	// networkErrors are returned by socket(2) and connect(2) if this machine fails before it sends anything: its network is
	// down, it has no route, or its security policy or firewall denies the call.
	networkErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

	// listenerErrors are returned by accept(2) if the descriptor is no longer a listening socket.
	listenerErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}
)

// IsLocalFailure reports whether connecting failed because of this machine, not because of the peer.
func IsLocalFailure(err error) bool { return IsResourceExhausted(err) || isOneOf(err, networkErrors) }

// IsResourceExhausted reports whether a call failed because the system has no free descriptor, memory or address.
func IsResourceExhausted(err error) bool { return isOneOf(err, resourceErrors) }

// IsListenerBroken reports whether an error of accept(2) shows that the listener is unusable.
func IsListenerBroken(err error) bool { return isOneOf(err, listenerErrors) }

// isOneOf reports whether err wraps one of the errnos. It does not use errors.Is, because the Is method of syscall.Errno also
// matches errors that are not equal.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
