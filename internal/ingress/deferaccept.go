package ingress

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deferAcceptTime is how long the kernel defers accepting a connection without data. One second is the minimum: the kernel
// measures the time in retransmissions of the SYN-ACK, and the first one follows after a second.
const deferAcceptTime = time.Second

// DeferAccept is a net.ListenConfig.Control function. It makes the kernel queue a connection for accept only when data has
// arrived on it, or after a second. Hundreds of clients that connect without sending anything then use no descriptors
// and do not delay other clients.
func DeferAccept(_, _ string, raw syscall.RawConn) error {
	return setDeferAcceptTime(raw, deferAcceptTime)
}

// setDeferAccept turns deferred accept on or off.
func setDeferAccept(l Listener, on bool) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	if on {
		return setDeferAcceptTime(raw, deferAcceptTime)
	}
	return setDeferAcceptTime(raw, 0)
}

func setDeferAcceptTime(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(d/time.Second))
	})
	return errors.Join(controlErr, err)
}
