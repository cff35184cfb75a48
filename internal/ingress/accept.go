package ingress

import (
	"errors"
	"net"
	"syscall"
	"time"

	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// acceptPause is how long accepting pauses when there is no room. A connection that is evicted has closed by then, and a
	// busy loop would take the CPU from those that close.
	acceptPause = time.Millisecond

	// brokenTime is how long accept(2) must keep failing with an error of a broken listener before that is believed.
	brokenTime = time.Second
)

// Serve accepts connections until a graceful shutdown ends that or the listener fails for good, and returns once every
// connection has ended. Every request that was read gets its response in either case, however long that takes. The error is
// the listener's.
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

// ignoreClosed drops the error of a listener that was closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// acceptAll accepts connections until a graceful shutdown ends that. The error is non-nil if the listener has failed
// for good.
func (s *Server) acceptAll(l Listener) error {
	queueEmpty := false       // as the last accept found it
	var brokenSince time.Time // zero: the last accept gave no sign that the listener is broken
	for !s.stopsAccepting(l, queueEmpty) {
		queueEmpty = false
		if !s.hasRoom() {
			s.options.Counters.Clients.Paused.Inc()
			time.Sleep(acceptPause)
			continue
		}
		if s.draining() {
			_ = l.SetDeadline(time.Now().Add(s.quietTime())) // a broken listener shows in accept
		}
		nc, err := acceptTCP(l)
		if !socket.IsListenerBroken(err) {
			brokenSince = time.Time{}
		}
		switch {
		case err == nil:
			s.checkDescriptor(nc)
			s.add(nc)
		case isTimeout(err):
			queueEmpty = true
		case errors.Is(err, net.ErrClosed):
			return err
		case socket.IsListenerBroken(err) && brokenSince.IsZero():
			brokenSince = time.Now()
		case socket.IsListenerBroken(err) && time.Since(brokenSince) >= brokenTime:
			return err
		default: // out of descriptors or buffers, or the connection has closed already
			s.options.Counters.Clients.Paused.Inc()
			s.makeRoom(err)
			time.Sleep(acceptPause)
		}
	}
	return nil
}

// acceptTCP accepts the next connection.
func acceptTCP(l Listener) (*net.TCPConn, error) {
	if err := faults.Accept(); err != nil {
		return nil, err
	}
	return l.AcceptTCP()
}

// add begins to serve a connection.
func (s *Server) add(nc *net.TCPConn) {
	c, err := newConn(nc, s)
	if err != nil {
		_ = nc.Close() // it has broken already
		return
	}
	if !c.hasUnread() && !s.draining() { // the kernel deferred it, so it has been silent that long
		c.idleSince = c.idleSince.Add(-deferTime)
		c.requestBegan = c.requestBegan.Add(-deferTime)
	}
	s.options.Counters.Clients.Opened.Inc()
	s.options.Counters.Clients.Open.Inc()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.serving.Add(1)
	go s.serve(c)
}

// connCount is how many connections there are.
func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// allConns are the connections that there are.
func (s *Server) allConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// isTimeout reports whether a deadline of the node's own has passed. ETIMEDOUT, with which the kernel gives a connection up,
// is none.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
