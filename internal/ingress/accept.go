package ingress

import (
	"errors"
	"net"
	"syscall"
	"time"

	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// acceptRetryDelay is the wait before the next accept after a failed accept or at the connection limit. An evicted
	// connection is closed within that time, and a busy loop would take CPU time from the connections that are closing.
	acceptRetryDelay = time.Millisecond

	// listenerFailureTimeout is how long accept(2) must keep failing with a listener error before the listener counts as
	// broken.
	listenerFailureTimeout = time.Second
)

// Serve accepts connections until a graceful shutdown stops it or the listener fails permanently, and returns once every
// connection has ended. In both cases it waits until every request that was read has its response, without a time limit. It
// returns the error of the listener, if any.
func (s *Server) Serve(l Listener) error {
	err := s.acceptAll(l)
	if err != nil {
		s.options.OnListenerBroken(l, err)
	}
	err = errors.Join(err, ignoreClosed(l.Close()))
	for !s.allClosed() {
		time.Sleep(drainInterval)
	}
	s.serving.Wait()
	return err
}

// ignoreClosed returns err, or nil if err means that the listener was already closed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// acceptAll accepts connections until a graceful shutdown stops it. It returns an error only if the listener has failed
// permanently.
func (s *Server) acceptAll(l Listener) error {
	queueEmpty := false       // the last accept timed out
	var brokenSince time.Time // zero if the last accept returned no listener error
	for !s.stopsAccepting(l, queueEmpty) {
		queueEmpty = false
		if !s.hasCapacity() {
			s.options.Counters.Clients.Paused.Inc()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.draining() {
			_ = l.SetDeadline(time.Now().Add(s.emptyQueueTimeout())) // on a broken listener the accept below fails too
		}
		tcpConn, err := acceptTCP(l)
		if !socket.IsListenerBroken(err) {
			brokenSince = time.Time{}
		}
		switch {
		case err == nil:
			s.checkDescriptor(tcpConn)
			s.add(tcpConn)
		case isTimeout(err):
			queueEmpty = true
		case errors.Is(err, net.ErrClosed):
			return err
		case socket.IsListenerBroken(err) && brokenSince.IsZero():
			brokenSince = time.Now()
		case socket.IsListenerBroken(err) && time.Since(brokenSince) >= listenerFailureTimeout:
			return err
		default: // no descriptors or buffers left, or the connection is already closed
			s.options.Counters.Clients.Paused.Inc()
			s.evictIfExhausted(err)
			time.Sleep(acceptRetryDelay)
		}
	}
	return nil
}

// acceptTCP accepts the next connection, or returns the error of an injected fault.
func acceptTCP(l Listener) (*net.TCPConn, error) {
	if err := faults.Accept(); err != nil {
		return nil, err
	}
	return l.AcceptTCP()
}

// add starts serving a connection.
func (s *Server) add(tcpConn *net.TCPConn) {
	c, err := newConn(tcpConn, s)
	if err != nil {
		_ = tcpConn.Close() // the connection has already failed
		return
	}
	if !c.hasUnread() && !s.draining() { // no data yet, so the kernel deferred the connection for deferAcceptTime
		c.idleSince = c.idleSince.Add(-deferAcceptTime)
		c.requestBegan = c.requestBegan.Add(-deferAcceptTime)
	}
	s.options.Memory.Charge(memory.ClientConnections, connectionBytes)
	s.options.Counters.Clients.Opened.Inc()
	s.options.Counters.Clients.Open.Inc()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.serving.Add(1)
	go s.serve(c)
}

// connCount returns the number of open connections.
func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// allConns returns all open connections.
func (s *Server) allConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// isTimeout reports whether err means that a deadline set by the node has passed. It excludes ETIMEDOUT, with which the kernel
// ends a connection whose peer does not respond.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
