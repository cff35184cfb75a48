package ingress

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// connPair returns the client's and the node's end of a connection.
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
	serverSide, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{}})
	c, err := newConn(serverSide, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), serverSide.Close() })
	return client, c
}

// waitFor waits up to 10 s until condition returns true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition is still false after 10 s")
		}
	}
}

// A request arrives just before the node's close of the connection takes effect. It must still be read.
func TestReadReturnsRequestThatArrivesDuringClose(t *testing.T) {
	for name, startClose := range map[string]func(*conn){
		"closing":      func(c *conn) { c.closeWhenIdle(closeDrained) },
		"idle timeout": func(c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) },
	} {
		client, c := connPair(t)
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		waitFor(t, c.hasUnread)
		startClose(c)
		b := make([]byte, 8)
		if n, err := c.Read(b); err != nil || string(b[:n]) != "GET" {
			t.Errorf("%s: Read = %q, %v, want \"GET\", nil", name, b[:n], err)
		}
	}
}

// The node may close a connection only between requests. A close while a request is in flight would lose the request.
func TestCloseWhenIdle(t *testing.T) {
	_, c := connPair(t)
	if !c.closeWhenIdle(closeEvicted) {
		t.Fatal("closeWhenIdle = false on an idle connection, want true")
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || err != io.EOF || c.closeReason != closeEvicted {
		t.Errorf("Read = %d, %v with close reason %q, want 0, EOF, %q", n, err, c.closeReason, closeEvicted)
	}
	client, busy := connPair(t)
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	if _, err := busy.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if busy.closeWhenIdle(closeEvicted) {
		t.Error("closeWhenIdle = true with a request in flight, want false")
	}
}

func TestReadFailureReasons(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		act          func(client net.Conn, c *conn)
	}{
		{"closed between requests", closeClientClosed, func(client net.Conn, _ *conn) { _ = client.Close() }},
		{"idle", closeIdleTimeout, func(_ net.Conn, c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }},
		{"closed during a request", closeClientAborted, func(client net.Conn, c *conn) {
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
			t.Errorf("%s: read error = %v, close reason = %q, want an error and %q", c.name, err, server.closeReason, c.reason)
		}
	}
}
