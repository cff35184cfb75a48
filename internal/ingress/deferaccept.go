package ingress

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deferTime is how long the kernel holds a silent connection back from the listener. It is the shortest there is: the kernel
// counts in repeats of its SYN-ACK, the first of which is due after a second.
const deferTime = time.Second

// DeferAccept is a net.ListenConfig.Control. It has the kernel hand connections over only once something has come on them, or
// after a second. Hundreds of clients that connect and say nothing then take no descriptors, and delay no other client.
func DeferAccept(_, _ string, raw syscall.RawConn) error {
	return setDeferTime(raw, deferTime)
}

// setDeferAccept turns deferred accept on or off.
func setDeferAccept(l Listener, on bool) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	if on {
		return setDeferTime(raw, deferTime)
	}
	return setDeferTime(raw, 0)
}

func setDeferTime(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(d/time.Second))
	})
	return errors.Join(controlErr, err)
}
