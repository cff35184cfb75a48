package admin

import (
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

const (
	// MaxConnections is how many connections may be open at once. Administrators and their tools are few; beyond it the
	// oldest connection whose request has not arrived is closed. The node reserves this many descriptors, and one for the listener.
	MaxConnections = 12

	// evictionGrace is how long a new connection is never evicted. Its request is on the way, and a crowd of connections
	// that send nothing must not push it out.
	evictionGrace = 20 * time.Millisecond

	// admitRetryInterval is the pause before a place is looked for again when no connection may be evicted.
	admitRetryInterval = time.Millisecond
)

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptedAt  time.Time
	requestRead bool // its request has arrived; guarded by the table's lock
}

// connectionTable holds the open connections, at most MaxConnections. Its zero value is empty.
type connectionTable struct {
	mu   sync.Mutex
	open []*connection // in the order of arrival
}

// add takes a connection into the table. Where the table is full it removes the oldest connection whose request has not
// arrived, and returns it; without such a connection nothing changes and added is false.
func (t *connectionTable) add(conn *connection) (evicted *connection, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) < MaxConnections {
		t.open = append(t.open, conn)
		return nil, true
	}
	oldest := slices.IndexFunc(t.open, func(c *connection) bool {
		return !c.requestRead && time.Since(c.acceptedAt) >= evictionGrace
	})
	if oldest < 0 {
		return nil, false
	}
	evicted = t.open[oldest]
	t.open = slices.Delete(t.open, oldest, oldest+1)
	return evicted, false
}

// remove takes a connection out of the table. One that was evicted is not in it any more.
func (t *connectionTable) remove(conn *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := slices.Index(t.open, conn); at >= 0 {
		t.open = slices.Delete(t.open, at, at+1)
	}
}

// markRead notes that a connection's request has arrived, after which it is not evicted.
func (t *connectionTable) markRead(conn *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.requestRead = true
}

// closeAll closes every connection of the table.
func (t *connectionTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.open {
		_ = conn.Close()
	}
}

// admit waits until the table has a place for a connection, evicting silent ones. The wait is short: connections that may
// not be evicted have just arrived, or are being answered, which takes no time.
func (s *Server) admit(conn *connection) {
	for {
		evicted, added := s.connections.add(conn)
		if added {
			s.counters.Admin.Open.Inc()
			return
		}
		if evicted == nil {
			time.Sleep(admitRetryInterval)
			continue
		}
		s.counters.Admin.Evicted.Inc()
		_ = evicted.Close() // its serve returns
	}
}

// serve answers the one request of a connection. A panic ends that connection only.
func (s *Server) serve(conn *connection) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic at the administrators' listener", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
		s.connections.remove(conn)
		s.counters.Admin.Open.Add(-1)
		_ = conn.Close()
	}()
	_ = s.http.ServeConn(conn) // a caller that breaks off is owed nothing
}
