package admin

import (
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

const (
	// MaxConnections is the limit of open connections. Administrators and their tools need few. At the limit, a new connection
	// evicts the oldest connection whose request has not arrived. The node reserves one descriptor per connection, and one for
	// the listener.
	MaxConnections = 12

	// evictionGrace is the time after accept in which a connection is not evicted. Otherwise many idle connections could evict
	// a connection whose request is still in transit.
	evictionGrace = 20 * time.Millisecond

	// admitRetryInterval is the delay before the next attempt to admit a connection if none could be evicted.
	admitRetryInterval = time.Millisecond
)

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptedAt  time.Time
	requestRead bool // the request has arrived; guarded by the mutex of the table
}

// connectionTable holds the open connections, at most MaxConnections. Its zero value is empty.
type connectionTable struct {
	mu   sync.Mutex
	open []*connection // oldest first
}

// add adds a connection to the table if the table is not full. Otherwise added is false, and the oldest connection whose
// request has not arrived is removed and returned, if there is one that may be evicted.
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

// remove removes a connection from the table. It does nothing if the connection has been evicted.
func (t *connectionTable) remove(conn *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index := slices.Index(t.open, conn); index >= 0 {
		t.open = slices.Delete(t.open, index, index+1)
	}
}

// markRead records that a connection's request has arrived. The connection is not evicted from then on.
func (t *connectionTable) markRead(conn *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.requestRead = true
}

// closeAll closes every connection in the table.
func (t *connectionTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.open {
		_ = conn.Close()
	}
}

// admit adds a connection to the table, and evicts connections without a request if the table is full. It waits while none
// may be evicted. The wait is short, since such connections have just been accepted or are being answered, which takes
// little time.
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
		_ = evicted.Close() // its serve call returns
	}
}

// serve handles the single request of a connection. A panic ends only that connection.
func (s *Server) serve(conn *connection) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic at the administrators' listener", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
		s.connections.remove(conn)
		s.counters.Admin.Open.Add(-1)
		_ = conn.Close()
	}()
	_ = s.http.ServeConn(conn) // the error is ignored: a client that has disconnected receives no response
}
