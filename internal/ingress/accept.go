package ingress

import (
	"cmp"
	"errors"
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// pauseStep is how long accepting rests when descriptors have run out: one that was told to make way has gone
	// by then, and a busy loop would take the core from those that end.
	pauseStep = time.Millisecond

	// softShare of the connections is where the ones longest idle begin to make way. Clients that connect anew for
	// each request and stay then find a place without waiting for one to be cleared; and clients hold a third of the
	// descriptors at most, beyond which they send nothing: idle ones must not use that up.
	softShare = 0.3

	// idleLeast is how long a connection must have stood idle to make way before the limit: a busy client's next
	// request comes sooner.
	idleLeast = 50 * time.Millisecond

	// evictBatch is how many make way at once: looking through all of them for each new one costs too much CPU.
	evictBatch = 16

	// firstLeast is how long a connection that has sent nothing yet is kept when descriptors run out: a client with
	// a request sends it at once, and hundreds that never do must not keep the others out for long.
	firstLeast = 150 * time.Millisecond

	// silentLeast is how long a connection whose request is not whole must have been silent to make way: a client that
	// takes 2 s over a request writes all the while.
	silentLeast = 300 * time.Millisecond

	// fewest is how many connections there may be however few descriptors there are: a node that takes in nobody serves nobody.
	fewest = 4

	// brokenFor is how long accept must say that the listener is broken before it is believed.
	brokenFor = time.Second

	// deferFor is how long the kernel keeps a connection on which nothing has come from us. It is the shortest
	// there is: the kernel counts in repeats of its own answer, the first of which is due after a second.
	deferFor = time.Second
)

// DeferAccept has the kernel hand connections over only once something has come on them, or after deferFor: those
// who connect by hundreds and say nothing then take no descriptor, and keep nobody with a request waiting behind them.
func DeferAccept(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(deferFor/time.Second))
	})
	return errors.Join(cerr, err)
}

// setDeferAccept has the kernel hold silent connections back, or hand each over at once.
func setDeferAccept(l Listener, on bool) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	seconds := 0
	if on {
		seconds = int(deferFor / time.Second)
	}
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, seconds)
	})
	return errors.Join(cerr, err)
}

// Serve accepts connections until a planned stop ends that or the listener breaks, and returns once every connection has
// ended. What was taken is answered in either case: there is no time after which it is cut off.
func (s *Server) Serve(l Listener) error {
	err := s.accept(l)
	if err != nil {
		s.o.OnListenerBroken(l, err)
	}
	err = errors.Join(err, ignoreClosed(l.Close()))
	for !s.ended() {
		time.Sleep(drainStep)
	}
	s.open.Wait()
	return err
}

// ignoreClosed drops the error of a listener that was closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// accept takes connections in until a planned stop ends that; the error tells that the listener is broken.
func (s *Server) accept(l Listener) error {
	quiet := false            // the queue was found empty
	var brokenSince time.Time // zero: the last call gave no sign that the listener is broken
	for !s.stopsAccepting(l, quiet) {
		quiet = false
		if !s.room() {
			s.o.Count.Clients.Paused.Inc()
			time.Sleep(pauseStep)
			continue
		}
		if s.draining() {
			_ = l.SetDeadline(time.Now().Add(s.quietFor())) // a broken listener shows in Accept
		}
		nc, err := acceptFrom(l)
		if !socket.IsListenerBroken(err) {
			brokenSince = time.Time{}
		}
		switch {
		case err == nil:
			s.noteDescriptor(nc)
			s.take(nc)
		case isTimeout(err):
			quiet = true
		case errors.Is(err, net.ErrClosed):
			return err
		case socket.IsListenerBroken(err) && brokenSince.IsZero():
			brokenSince = time.Now()
		case socket.IsListenerBroken(err) && time.Since(brokenSince) >= brokenFor:
			return err
		default: // out of descriptors or buffers, or the connection was gone already
			s.o.Count.Clients.Paused.Inc()
			s.makeRoom(err)
			time.Sleep(pauseStep)
		}
	}
	return nil
}

// acceptFrom takes the next connection.
func acceptFrom(l Listener) (*net.TCPConn, error) {
	if err := faults.Accept(); err != nil {
		return nil, err
	}
	return l.AcceptTCP()
}

// makeRoom makes room where accept fails for want of descriptors or memory. Other errors concern one connection or pass by
// themselves, and no client has to go for them.
func (s *Server) makeRoom(err error) {
	if socket.IsResourceExhausted(err) {
		s.lowerLimit()
		s.evict(0)
	}
}

// limit is how many connections there may be: as many as were set, and no more than leave the process the descriptors that are
// set aside.
func (s *Server) limit() int { return int(min(s.most.Load(), s.fits.Load())) }

// noteDescriptor looks at the descriptor that a connection was given. The kernel gives the lowest that is free, so one that is among the
// last says how few are left, whoever holds the others. The system's limit is asked for each time: it may be lowered while the
// process runs.
func (s *Server) noteDescriptor(nc *net.TCPConn) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return
	}
	most := min(files.Cur, math.MaxInt32)
	mark := most - min(uint64(s.o.ReservedDescriptors), most/2)
	raw, err := nc.SyscallConn()
	if err != nil {
		return
	}
	short := false
	_ = raw.Control(func(fd uintptr) { short = uint64(fd) >= mark }) // a closed one has none
	if short {
		s.lowerLimit()
	} else if n := int64(s.held()) + 1; n >= s.fits.Load() {
		s.fits.Store(n + 1) // there is room for one more at least
	}
}

// lowerLimit has no more connections than there are now, and says once why those that rest longest make way.
func (s *Server) lowerLimit() {
	n := max(fewest, int64(s.held()))
	s.fits.Store(n)
	s.o.Count.Clients.Short.Inc()
	if s.due(&s.saidShort) {
		s.o.Log.Warn("descriptors run short, clients that rest longest make way", "code", "descriptors_short", "clients", n)
	}
}

// isTimeout reports whether a time of the node's own has passed. A connection that the kernel gave up (ETIMEDOUT) has broken.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}

// room tells whether another connection may come. Well before the limit those longest idle make way.
func (s *Server) room() bool {
	n := s.held()
	switch {
	case s.evicting.Load() > 0: // some are about to go
	case n >= s.limit():
		s.evict(0)
	case n >= int(softShare*float64(s.limit())):
		s.evict(idleLeast)
	}
	return n < s.limit()
}

// held is how many connections there are.
func (s *Server) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// evict closes the connections that have stood idle longest, and so long at least. One just made is about to send
// its request.
func (s *Server) evict(least time.Duration) {
	type idler struct {
		c     *conn
		since time.Duration
	}
	var idle []idler
	for _, c := range s.all() {
		if d, ok := c.idleFor(); ok && d >= least && (c.served() || d >= firstLeast) {
			idle = append(idle, idler{c, d})
		}
	}
	end := func(c *conn) bool { return c.closeWhenIdle(endEvicted) }
	if len(idle) == 0 && least == 0 { // thousands may connect and never finish a request
		end = func(c *conn) bool { return c.endIncomplete(endEvicted) }
		for _, c := range s.all() {
			if d, ok := c.silentFor(); ok && d >= silentLeast {
				idle = append(idle, idler{c, d})
			}
		}
	}
	slices.SortFunc(idle, func(a, b idler) int { return cmp.Compare(b.since, a.since) })
	for _, i := range idle[:min(evictBatch, len(idle))] {
		if end(i.c) {
			s.evicting.Add(1)
		}
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
	if !c.waiting() && !s.draining() { // the kernel has kept it: it has been silent for as long
		c.since, c.began = c.since.Add(-deferFor), c.began.Add(-deferFor)
	}
	s.o.Count.Clients.Opened.Inc()
	s.o.Count.Clients.Open.Inc()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.open.Add(1)
	go s.serve(c)
}
