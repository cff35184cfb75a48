package socket

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// inspect calls check with the descriptor of a connection or listener.
func inspect(t *testing.T, c syscall.Conn, check func(fd uintptr)) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(check)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A peer sends a byte and closes the connection. PeerClosed must report the close although the byte is unread, and Peek must
// not consume the byte.
func TestPeekAndPeerClosedKeepUnreadByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	inspect(t, l.(*net.TCPListener), func(fd uintptr) {
		if Readable(fd) {
			t.Error("Readable = true on a listener without connections, want false")
		}
	})
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inspect(t, l.(*net.TCPListener), func(fd uintptr) {
		if !Readable(fd) {
			t.Error("Readable = false on a listener with a queued connection, want true")
		}
	})
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	serverConn := accepted.(*net.TCPConn)
	inspect(t, serverConn, func(fd uintptr) {
		if _, err := Peek(fd); !errors.Is(err, syscall.EAGAIN) || PeerClosed(fd) {
			t.Errorf("on a connection without data: Peek error = %v, PeerClosed = %v, want EAGAIN, false", err, PeerClosed(fd))
		}
	})
	_, writeErr := client.Write([]byte("x"))
	if err := errors.Join(writeErr, client.Close()); err != nil {
		t.Fatal(err)
	}
	for end, seen := time.Now().Add(time.Second), false; !seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("PeerClosed = false 1 s after the peer closed behind an unread byte, want true")
		}
		inspect(t, serverConn, func(fd uintptr) {
			n, err := Peek(fd)
			seen = n == 1 && err == nil && PeerClosed(fd)
		})
	}
}
