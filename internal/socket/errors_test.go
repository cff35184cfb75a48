package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestErrnosAreClassified(t *testing.T) {
	wrap := func(errno syscall.Errno) error {
		return fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
	}
	for _, test := range []struct {
		errno                    syscall.Errno
		local, exhausted, broken bool
	}{
		{syscall.ENFILE, true, true, false}, {syscall.ENOBUFS, true, true, false}, {syscall.EADDRNOTAVAIL, true, true, false},
		{syscall.ENETUNREACH, true, false, false}, {syscall.ECONNREFUSED, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false}, {syscall.ETIMEDOUT, false, false, false},
		{syscall.ECONNABORTED, false, false, false}, {syscall.EBADF, false, false, true},
	} {
		err := wrap(test.errno)
		if IsLocalFailure(err) != test.local || IsResourceExhausted(err) != test.exhausted || IsListenerBroken(err) != test.broken {
			t.Errorf("%v: local, exhausted, listener broken = %v, %v, %v, want %v, %v, %v", test.errno, IsLocalFailure(err),
				IsResourceExhausted(err), IsListenerBroken(err), test.local, test.exhausted, test.broken)
		}
	}
	if IsLocalFailure(errors.New("text alone")) {
		t.Error("IsLocalFailure = true for an error without an errno, want false")
	}
}
