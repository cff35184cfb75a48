package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestErrorClasses(t *testing.T) {
	wrap := func(errno syscall.Errno) error {
		return fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
	}
	for _, c := range []struct {
		errno                    syscall.Errno
		local, exhausted, broken bool
	}{
		{syscall.ENFILE, true, true, false}, {syscall.ENOBUFS, true, true, false}, {syscall.EADDRNOTAVAIL, true, true, false},
		{syscall.ENETUNREACH, true, false, false}, {syscall.ECONNREFUSED, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false}, {syscall.ETIMEDOUT, false, false, false},
		{syscall.ECONNABORTED, false, false, false}, {syscall.EBADF, false, false, true},
	} {
		err := wrap(c.errno)
		if IsLocalFailure(err) != c.local || IsResourceExhausted(err) != c.exhausted || IsListenerBroken(err) != c.broken {
			t.Errorf("%v: local %v, exhausted %v, listener broken %v", c.errno, IsLocalFailure(err), IsResourceExhausted(err), IsListenerBroken(err))
		}
	}
	if IsLocalFailure(errors.New("text alone")) {
		t.Error("an error without an errno was classified")
	}
}
