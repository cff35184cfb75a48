package ingress

import (
	"net"
	"testing"
	"time"
)

// TestHeldBackConnectionsAreSeen has the kernel hold a silent connection back, and hand it over once something came.
func TestHeldBackConnectionsAreSeen(t *testing.T) {
	config := net.ListenConfig{Control: DeferAccept}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	held := func() bool {
		got, err := anyHeldBack(l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if held() || queued(l.(*net.TCPListener)) {
		t.Error("connections before any was made")
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !held() || queued(l.(*net.TCPListener)) {
		t.Error("a silent connection is not seen as held back")
	}
	if _, err := c.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); held() || !queued(l.(*net.TCPListener)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection with bytes on it stays held back, or is not seen in the queue")
		}
	}
}
