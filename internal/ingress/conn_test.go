package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// pair is a client's end and the node's.
func pair(t *testing.T) (net.Conn, *conn) {
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
	s := New(Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}})
	c, err := newConn(nc, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), nc.Close() })
	return client, c
}

func (c *conn) waitFor(t *testing.T, seen func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !seen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing came")
		}
	}
}

// TestCrossedRequestIsRead lets a request arrive just before the node's closing takes effect.
func TestCrossedRequestIsRead(t *testing.T) {
	for name, closing := range map[string]func(*conn){
		"doomed":    func(c *conn) { c.closeWhenIdle(endDrained) },
		"idle time": func(c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) },
	} {
		client, c := pair(t)
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		c.waitFor(t, c.waiting)
		closing(c)
		b := make([]byte, 8)
		if n, err := c.Read(b); err != nil || string(b[:n]) != "GET" {
			t.Errorf("%s: read %q, %v", name, b[:n], err)
		}
	}
}

func TestDoomedConnectionEndsBetweenRequests(t *testing.T) {
	_, c := pair(t)
	if !c.closeWhenIdle(endEvicted) {
		t.Fatal("an idle connection cannot be closed")
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || err != io.EOF || c.reason != endEvicted {
		t.Errorf("read %d, %v, ended by %q", n, err, c.reason)
	}
	client, busy := pair(t)
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	if _, err := busy.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if busy.closeWhenIdle(endEvicted) {
		t.Error("a connection with a request in hand was closed")
	}
}

func TestReasons(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		act          func(client net.Conn, c *conn)
	}{
		{"closed between requests", endClosed, func(client net.Conn, _ *conn) { _ = client.Close() }},
		{"idle", endIdle, func(_ net.Conn, c *conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }},
		{"cut", endCut, func(client net.Conn, c *conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = c.Read(make([]byte, 8))
			_ = client.Close()
		}},
		{"slow", endSlow, func(client net.Conn, c *conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = c.Read(make([]byte, 8))
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}},
		{"reset", endReset, func(client net.Conn, c *conn) {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
		}},
	} {
		client, server := pair(t)
		c.act(client, server)
		if _, err := server.Read(make([]byte, 8)); err == nil || server.reason != c.reason {
			t.Errorf("%s: %v, reason %q, want %q", c.name, err, server.reason, c.reason)
		}
	}
}

func TestWatchSeesTheClientLeaveAndTakesNothing(t *testing.T) {
	client, c := pair(t)
	left, stop := c.WatchDisconnect()
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	c.waitFor(t, c.waiting)
	stop()
	select {
	case <-left:
		t.Error("a client that sent its next request was taken to have left")
	default:
	}
	b := make([]byte, 8)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "next" {
		t.Errorf("the next request reads %q, %v", b[:n], err)
	}
	left, stop = c.WatchDisconnect()
	defer stop()
	_ = client.Close()
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("a client's leaving was not seen")
	}
}

// TestLeavingBehindBytes: the end comes while bytes lie unread, and after them.
func TestLeavingBehindBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			client, c := pair(t)
			left, stop := c.WatchDisconnect()
			defer stop()
			if _, err := client.Write([]byte("next")); err != nil {
				t.Fatal(err)
			}
			c.waitFor(t, c.waiting)
			if c.Disconnected() {
				t.Error("a client that sent its next request was taken to have left")
			}
			if err := end(client.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Error("a client's leaving was not seen")
			}
			if !c.Disconnected() {
				t.Error("a client that has gone was not taken to have left")
			}
		})
	}
}
