package ingress

import (
	"errors"
	"net"
	"time"
)

const (
	// pauseStep is how long accepting rests when descriptors have run out: one that was told to make way has gone
	// by then, and a busy loop would take the core from those that end.
	pauseStep = time.Millisecond

	// firstLeast is how long a connection that has sent nothing yet is kept when descriptors run out: a client with
	// a request sends it at once, and hundreds that never do must not keep the others out for long.
	firstLeast = 150 * time.Millisecond
)

// Serve accepts connections until a drain is over.
func (s *Server) Serve(l *net.TCPListener) error {
	for {
		if s.draining() && s.drained() {
			break
		}
		if !s.room() {
			s.o.Count.Clients.Paused.Inc()
			time.Sleep(pauseStep)
			continue
		}
		if s.draining() {
			_ = l.SetDeadline(time.Now().Add(drainStep)) // a broken listener shows in Accept
		}
		nc, err := l.AcceptTCP()
		switch {
		case err == nil:
			s.take(nc)
		case errors.Is(err, net.ErrClosed):
			return err
		case isTimeout(err):
		default: // out of descriptors, or the connection was gone already
			s.o.Count.Clients.Paused.Inc()
			s.evict()
			time.Sleep(pauseStep)
		}
	}
	err := l.Close()
	s.await()
	return err
}

// await lets connections end, but not beyond a drain's time: what then is left is no whole request, or its
// client does not read.
func (s *Server) await() {
	ended := make(chan struct{})
	go func() {
		s.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(s.o.Grace + drainSlack - time.Since(s.began)):
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// room tells whether another connection may come. At the limit the one longest idle makes way.
func (s *Server) room() bool {
	s.mu.Lock()
	n := len(s.conns)
	s.mu.Unlock()
	if n < s.o.Most {
		return true
	}
	s.evict()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) < s.o.Most
}

// evict closes the connection that has stood idle longest. One just made is about to send its request.
func (s *Server) evict() {
	var oldest *conn
	var longest time.Duration
	for _, c := range s.all() {
		if d, ok := c.idleFor(); ok && d >= longest && (c.served() || d >= firstLeast) {
			oldest, longest = c, d
		}
	}
	if oldest != nil {
		oldest.doom(endEvicted)
	}
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

func (s *Server) take(nc *net.TCPConn) {
	c, err := newConn(nc, s)
	if err != nil {
		_ = nc.Close() // it was gone already
		return
	}
	s.o.Count.Clients.Opened.Inc()
	s.o.Count.Clients.Open.Inc()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.open.Add(1)
	go s.serve(c)
}
