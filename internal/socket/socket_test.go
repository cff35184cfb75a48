package socket

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// inspect calls look with a connection's descriptor.
func inspect(t *testing.T, c syscall.Conn, look func(fd uintptr)) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(look)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestInspectionConsumesNothing: a peer sends a byte and closes. The close behind the unread byte must be seen, and the byte must
// stay to be read.
func TestInspectionConsumesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	inspect(t, l.(*net.TCPListener), func(fd uintptr) {
		if Readable(fd) {
			t.Error("a connection before any was made")
		}
	})
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inspect(t, l.(*net.TCPListener), func(fd uintptr) {
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
	inspect(t, c, func(fd uintptr) {
		if _, err := Peek(fd); !errors.Is(err, syscall.EAGAIN) || PeerClosed(fd) {
			t.Errorf("on a silent connection: %v, closed %v", err, PeerClosed(fd))
		}
	})
	_, werr := far.Write([]byte("x"))
	if err := errors.Join(werr, far.Close()); err != nil {
		t.Fatal(err)
	}
	for end, seen := time.Now().Add(time.Second), false; !seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the close behind an unread byte is not seen")
		}
		inspect(t, c, func(fd uintptr) {
			n, err := Peek(fd)
			seen = n == 1 && err == nil && PeerClosed(fd)
		})
	}
}
