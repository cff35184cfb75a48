package ingress

import (
	"bytes"
	"io"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/memory"
)

// beginRequest makes a connection look as if a complete request was in flight.
func beginRequest(c *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.inFlight = true
	c.closing.seenOpen = time.Now()
}

// endRequest makes a connection look as if its request had been answered.
func endRequest(c *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
}

// numberedBytes returns bytes that differ by their position.
func numberedBytes(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return b
}

// Much of a client's own lies unread behind its request, and the client stays: it was taken for gone. What lies unread must be read ahead, so that
// it is seen that nothing follows, and must come out again byte for byte.
func TestClientThatStaysBehindItsOwnBytesIsSeen(t *testing.T) {
	for _, size := range []int{10, minUnseenBytes, 200 << 10, maxReadAhead - 1000} {
		client, c := connPair(t)
		beginRequest(c)
		sent := numberedBytes(size)
		go func() { _, _ = client.Write(sent) }()
		_, stop := c.WatchDisconnect()
		time.Sleep(2 * maxUnseenTime)
		waitFor(t, func() bool { return !c.MayHaveDisconnected() })
		if c.Disconnected() {
			t.Errorf("%d bytes: Disconnected = true for a client that stays, want false", size)
		}
		stop()
		endRequest(c)
		received := make([]byte, size)
		if _, err := io.ReadFull(c, received); err != nil || !bytes.Equal(received, sent) {
			t.Errorf("%d bytes: read something else than was sent, error %v", size, err)
		}
		if charged := c.server.aheadBytes.Load(); charged != 0 {
			t.Errorf("%d bytes: %d bytes are still charged after all were read, want 0", size, charged)
		}
	}
}

// A client closes the connection behind more than the kernel takes. The close must be seen once the bytes before it are read ahead.
func TestCloseBehindManyBytesIsSeen(t *testing.T) {
	client, c := connPair(t)
	beginRequest(c)
	disconnected, stop := c.WatchDisconnect()
	defer stop()
	if _, err := client.Write(make([]byte, 600<<10)); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Error("the close is not seen within 10 s")
	}
}

// A client sends without end, or memory is short. Reading ahead must stop at its limits, and the client, whose close could not be seen, must count
// neither as connected nor as gone. Once its bytes are read it counts as connected again.
func TestReadingAheadStopsAtItsLimits(t *testing.T) {
	for name, limit := range map[string]int64{"of a connection": 0, "of memory": 2 << 20, "of no memory": 1} {
		client, c := connPair(t)
		if limit > 0 {
			c.server.options.Memory = memory.New(memory.Options{Limit: limit, Counters: &counters.Memory{}})
		}
		beginRequest(c)
		const size = 16 << 20
		sent := make(chan error, 1)
		go func() {
			_, err := client.Write(make([]byte, size))
			sent <- err
		}()
		_, stop := c.WatchDisconnect()
		waitFor(t, c.MayHaveDisconnected)
		time.Sleep(2 * maxUnseenTime)
		if c.Disconnected() || !c.MayHaveDisconnected() {
			t.Errorf("limit %s: Disconnected = %v, MayHaveDisconnected = %v, want false and true", name, c.Disconnected(), c.MayHaveDisconnected())
		}
		most := int64(maxReadAhead)
		if limit > 0 {
			most = min(most, limit/10)
		}
		if ahead := c.server.aheadBytes.Load(); ahead > most {
			t.Errorf("limit %s: %d bytes are read ahead, want %d at most", name, ahead, most)
		}
		stop()
		endRequest(c)
		if n, err := io.CopyN(io.Discard, c, size); err != nil {
			t.Errorf("limit %s: read %d bytes, error %v, want %d", name, n, err, size)
		}
		beginRequest(c)
		waitFor(t, func() bool { return !c.MayHaveDisconnected() })
		if err := <-sent; err != nil {
			t.Error(err)
		}
	}
}
