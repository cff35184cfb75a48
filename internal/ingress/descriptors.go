package ingress

import (
	"math"
	"net"
	"syscall"

	"tackhub.example/tackhub/internal/socket"
)

// minConns is the lowest connection limit that a shortage of descriptors can cause. A node with a limit of 0 would serve no
// client.
const minConns = 4

// connLimit returns the maximum number of connections. It is the configured maximum, unless the reserved descriptors require a
// lower one.
func (s *Server) connLimit() int { return int(min(s.maxConns.Load(), s.maxConnsByDescriptors.Load())) }

// checkDescriptor adapts the connection limit to the descriptor number of a new connection. The kernel assigns the lowest free
// number, so a high one shows that few descriptors are left, regardless of what uses the others. The limit of the process is
// read each time, because it can be lowered while the process runs.
func (s *Server) checkDescriptor(tcpConn *net.TCPConn) {
	var fdLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fdLimit); err != nil {
		return
	}
	maxFD := min(fdLimit.Cur, math.MaxInt32)
	firstReserved := maxFD - min(uint64(s.options.ReservedDescriptors), maxFD/2)
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return
	}
	reserved := false
	_ = raw.Control(func(fd uintptr) { reserved = uint64(fd) >= firstReserved }) // fails on a closed connection, which has no descriptor
	if reserved {
		s.lowerLimit()
		return
	}
	if conns := int64(s.connCount()) + 1; conns >= s.maxConnsByDescriptors.Load() {
		s.maxConnsByDescriptors.Store(conns + 1) // at least one more connection is possible
	}
}

// lowerLimit sets the limit on connections to the current number of connections, but not below minConns.
func (s *Server) lowerLimit() {
	n := max(minConns, int64(s.connCount()))
	s.maxConnsByDescriptors.Store(n)
	s.options.Counters.Clients.ReservedUsed.Inc()
	if s.allowLog(&s.lastLogged.descriptors) {
		s.options.Log.Warn("few file descriptors left, closing the client connections that are idle longest",
			"code", "descriptors_short", "clients", n)
	}
}

// evictIfExhausted evicts connections if accept(2) failed because descriptors or memory are exhausted. Other errors of accept
// affect a single connection or are temporary, so they need no eviction.
func (s *Server) evictIfExhausted(err error) {
	if socket.IsResourceExhausted(err) {
		s.lowerLimit()
		s.evict(0)
	}
}
