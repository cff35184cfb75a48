package ingress

import (
	"errors"
	"net"
	"testing"
	"time"
)

func TestWatchDisconnectConsumesNothing(t *testing.T) {
	client, c := connPair(t)
	left, stop := c.WatchDisconnect()
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, c.hasUnread)
	stop()
	select {
	case <-left:
		t.Error("a client that sent its next request counts as disconnected")
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
		t.Error("the disconnect was not seen")
	}
}

// TestDisconnectBehindUnreadBytes: a client sends more than its request and disconnects. The close comes behind bytes that are
// not read, and must be seen.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			client, c := connPair(t)
			left, stop := c.WatchDisconnect()
			defer stop()
			if _, err := client.Write([]byte("next")); err != nil {
				t.Fatal(err)
			}
			waitFor(t, c.hasUnread)
			if c.Disconnected() {
				t.Error("a client that sent its next request counts as disconnected")
			}
			if err := end(client.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Error("the disconnect was not seen")
			}
			if !c.Disconnected() {
				t.Error("a client that has disconnected does not count as such")
			}
		})
	}
}
