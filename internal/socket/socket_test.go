package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func descriptor(t *testing.T, c syscall.Conn, look func(fd uintptr)) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(look)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestLookingTakesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	descriptor(t, l.(*net.TCPListener), func(fd uintptr) {
		if Readable(fd) {
			t.Error("a connection before any was made")
		}
	})
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	descriptor(t, l.(*net.TCPListener), func(fd uintptr) {
		if !Readable(fd) {
			t.Error("a connection in the queue is not seen")
		}
	})
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	c := near.(*net.TCPConn)
	descriptor(t, c, func(fd uintptr) {
		if _, err := Peek(fd); !errors.Is(err, syscall.EAGAIN) || PeerClosed(fd) {
			t.Errorf("on a silent connection: %v, ended %v", err, PeerClosed(fd))
		}
	})
	_, werr := far.Write([]byte("x"))
	if err := errors.Join(werr, far.Close()); err != nil {
		t.Fatal(err)
	}
	for end, seen := time.Now().Add(time.Second), false; !seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end behind an unread byte is not seen")
		}
		descriptor(t, c, func(fd uintptr) {
			n, err := Peek(fd)
			seen = n == 1 && err == nil && PeerClosed(fd)
		})
	}
}

func TestErrorsAreTold(t *testing.T) {
	wrap := func(errno syscall.Errno) error {
		return fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
	}
	for _, c := range []struct {
		errno                syscall.Errno
		local, short, broken bool
	}{
		{syscall.ENFILE, true, true, false}, {syscall.ENOBUFS, true, true, false}, {syscall.EADDRNOTAVAIL, true, true, false},
		{syscall.ENETUNREACH, true, false, false}, {syscall.ECONNREFUSED, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false}, {syscall.ETIMEDOUT, false, false, false},
		{syscall.ECONNABORTED, false, false, false}, {syscall.EBADF, false, false, true},
	} {
		err := wrap(c.errno)
		if IsLocalFailure(err) != c.local || IsResourceExhausted(err) != c.short || IsListenerBroken(err) != c.broken {
			t.Errorf("%v: local %v, short %v, broken %v", c.errno, IsLocalFailure(err), IsResourceExhausted(err), IsListenerBroken(err))
		}
	}
	if IsLocalFailure(errors.New("text alone")) {
		t.Error("an error without a number is taken for one")
	}
}
