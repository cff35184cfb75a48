package ingress

import (
	"net"
	"testing"
	"time"
)

// TestAnyHalfOpen: the kernel holds a silent connection back, and hands it over once something has come. Both must be seen, or
// a shutdown would reset the connection.
func TestAnyHalfOpen(t *testing.T) {
	config := net.ListenConfig{Control: DeferAccept}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	held := func() bool {
		got, err := anyHalfOpen(l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if held() || hasQueued(l.(*net.TCPListener)) {
		t.Error("connections before any was made")
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !held() || hasQueued(l.(*net.TCPListener)) {
		t.Error("a silent connection is not seen as half-open")
	}
	if _, err := c.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); held() || !hasQueued(l.(*net.TCPListener)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection with bytes on it stays half-open, or is not seen in the queue")
		}
	}
}
