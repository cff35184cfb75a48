package ingress

import (
	"math"
	"net"
	"syscall"

	"tackhub.example/tackhub/internal/socket"
)

// minConns is how many connections there may be however few descriptors there are: a node that accepts none serves none.
const minConns = 4

// limit is how many connections there may be: as many as were set, and no more than leave the reserved descriptors free.
func (s *Server) limit() int { return int(min(s.maxConns.Load(), s.maxByFDs.Load())) }

// checkDescriptor looks at the descriptor that a connection was given. The kernel gives the lowest that is free, so a high one
// says how few are left, whoever holds the others. The system's limit is read each time, since it may be lowered while the
// process runs.
func (s *Server) checkDescriptor(nc *net.TCPConn) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return
	}
	maxFD := min(files.Cur, math.MaxInt32)
	firstReserved := maxFD - min(uint64(s.options.ReservedDescriptors), maxFD/2)
	raw, err := nc.SyscallConn()
	if err != nil {
		return
	}
	reserved := false
	_ = raw.Control(func(fd uintptr) { reserved = uint64(fd) >= firstReserved }) // it fails on a closed one, which has none
	if reserved {
		s.lowerLimit()
		return
	}
	if n := int64(s.connCount()) + 1; n >= s.maxByFDs.Load() {
		s.maxByFDs.Store(n + 1) // there is room for one more at least
	}
}

// lowerLimit allows no more connections than there are now.
func (s *Server) lowerLimit() {
	n := max(minConns, int64(s.connCount()))
	s.maxByFDs.Store(n)
	s.options.Counters.Clients.Short.Inc()
	if s.allowLog(&s.logLimits.descriptors) {
		s.options.Log.Warn("file descriptors run short, closing the clients that are idle longest",
			"code", "descriptors_short", "clients", n)
	}
}

// makeRoom closes idle connections where accept(2) fails for want of descriptors or memory. Its other errors concern one
// connection or pass by themselves, and no client has to go for them.
func (s *Server) makeRoom(err error) {
	if socket.IsResourceExhausted(err) {
		s.lowerLimit()
		s.evict(0)
	}
}
