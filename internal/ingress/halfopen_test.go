package ingress

import (
	"net"
	"testing"
	"time"
)

// The kernel defers a connection without data and queues it once data has arrived. Both states must be detected, because a
// shutdown that misses one of them resets the connection.
func TestAnyHalfOpen(t *testing.T) {
	config := net.ListenConfig{Control: DeferAccept}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	halfOpen := func() bool {
		got, err := anyHalfOpen(l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if halfOpen() || hasQueued(l.(*net.TCPListener)) {
		t.Error("a connection is reported as half-open or queued before the client connected, want none")
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if !halfOpen() || hasQueued(l.(*net.TCPListener)) {
		t.Error("a connection without data is not reported as half-open, or is reported as queued")
	}
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); halfOpen() || !hasQueued(l.(*net.TCPListener)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("1 s after data arrived the connection is still reported as half-open, or not as queued")
		}
	}
}
