package ingress

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// connPair returns a client's end of a connection and the node's.
func connPair(t *testing.T) (net.Conn, *conn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{}})
	c, err := newConn(nc, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), nc.Close() })
	return client, c
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}

// TestCrossedRequestIsRead: a request arrives just before the node's closing takes effect. It is read and served.
func TestCrossedRequestIsRead(t *testing.T) {
	for name, closing := range map[string]func(*conn){
		"closing":      func(c *conn) { c.closeWhenIdle(closeDrained) },
		"idle timeout": func(c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) },
	} {
		client, c := connPair(t)
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		waitFor(t, c.hasUnread)
		closing(c)
		b := make([]byte, 8)
		if n, err := c.Read(b); err != nil || string(b[:n]) != "GET" {
			t.Errorf("%s: read %q, %v", name, b[:n], err)
		}
	}
}

func TestCloseWhenIdle(t *testing.T) {
	_, c := connPair(t)
	if !c.closeWhenIdle(closeEvicted) {
		t.Fatal("an idle connection cannot be closed")
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || err != io.EOF || c.closeReason != closeEvicted {
		t.Errorf("read %d, %v, ended by %q", n, err, c.closeReason)
	}
	client, busy := connPair(t)
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	if _, err := busy.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if busy.closeWhenIdle(closeEvicted) {
		t.Error("a connection with a request in flight was closed")
	}
}

func TestReadFailureReasons(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		act          func(client net.Conn, c *conn)
	}{
		{"closed between requests", closeClientClosed, func(client net.Conn, _ *conn) { _ = client.Close() }},
		{"idle", closeIdleTimeout, func(_ net.Conn, c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }},
		{"cut", closeClientCut, func(client net.Conn, c *conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = c.Read(make([]byte, 8))
			_ = client.Close()
		}},
		{"slow", closeSlowRequest, func(client net.Conn, c *conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = c.Read(make([]byte, 8))
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}},
		{"reset", closeClientReset, func(client net.Conn, c *conn) {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
		}},
	} {
		client, server := connPair(t)
		c.act(client, server)
		if _, err := server.Read(make([]byte, 8)); err == nil || server.closeReason != c.reason {
			t.Errorf("%s: %v, reason %q, want %q", c.name, err, server.closeReason, c.reason)
		}
	}
}
