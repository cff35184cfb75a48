package ingress

import (
	"errors"
	"net"
	"testing"
	"time"
)

// A client sends its next request while WatchDisconnect runs. The watch must neither consume these bytes nor report a
// disconnect.
func TestWatchDisconnectConsumesNothing(t *testing.T) {
	client, c := connPair(t)
	disconnected, stop := c.WatchDisconnect()
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, c.hasUnread)
	stop()
	select {
	case <-disconnected:
		t.Error("the channel of WatchDisconnect is closed although the client only sent its next request")
	default:
	}
	b := make([]byte, 8)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "next" {
		t.Errorf("Read of the next request = %q, %v, want \"next\", nil", b[:n], err)
	}
	disconnected, stop = c.WatchDisconnect()
	defer stop()
	_ = client.Close()
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Error("the channel of WatchDisconnect is not closed 10 s after the client disconnected")
	}
}

// A client sends bytes after its request and then disconnects. The close arrives behind unread bytes and must still be detected.
func TestDisconnectDetectedBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			client, c := connPair(t)
			disconnected, stop := c.WatchDisconnect()
			defer stop()
			if _, err := client.Write([]byte("next")); err != nil {
				t.Fatal(err)
			}
			waitFor(t, c.hasUnread)
			if c.Disconnected() {
				t.Error("Disconnected = true for a client that only sent its next request, want false")
			}
			if err := end(client.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			select {
			case <-disconnected:
			case <-time.After(10 * time.Second):
				t.Error("the channel of WatchDisconnect is not closed 10 s after the client disconnected")
			}
			if !c.Disconnected() {
				t.Error("Disconnected = false after the client disconnected, want true")
			}
		})
	}
}
