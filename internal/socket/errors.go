package socket

import (
	"errors"
	"slices"
	"syscall"
)

var (
	// resourceErrors are returned if the system has no descriptor, memory or address for a call.
	resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
		syscall.EADDRNOTAVAIL}

	// networkErrors are those of socket(2) and connect(2) that come from this machine before anything is sent: it has no
	// route or no network, or its own rules deny the call.
	networkErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

	// listenerErrors are those of accept(2) for a descriptor that is no listener any more.
	listenerErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}
)

// IsLocalFailure reports whether a connection did not come up for a reason of this machine's, so that the peer is not at fault.
func IsLocalFailure(err error) bool { return IsResourceExhausted(err) || isOneOf(err, networkErrors) }

// IsResourceExhausted reports whether the system has no descriptor, memory or address for a call.
func IsResourceExhausted(err error) bool { return isOneOf(err, resourceErrors) }

// IsListenerBroken reports whether, by an error of accept(2), the listener cannot be used any more.
func IsListenerBroken(err error) bool { return isOneOf(err, listenerErrors) }

// isOneOf reports whether an error wraps one of the errnos. syscall.Errno's own Is method, which errors.Is uses, matches more
// than equality.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
