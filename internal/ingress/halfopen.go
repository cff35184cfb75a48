package ingress

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel lists half-open connections over its socket diagnosis (sock_diag(7)): the request names a local port and a TCP
// state, the response has one message for each socket and a final one.
const (
	diagRequestSize    = unix.SizeofNlMsghdr + 56 // struct inet_diag_req_v2
	diagFamilyOffset   = unix.SizeofNlMsghdr
	diagProtocolOffset = diagFamilyOffset + 1
	diagStatesOffset   = diagFamilyOffset + 4
	diagPortOffset     = diagFamilyOffset + 8
	sockDiagByFamily   = 20 // SOCK_DIAG_BY_FAMILY
	tcpSynRecv         = 3  // TCP_SYN_RECV
	diagResponseSize   = 8 << 10

	// diagTimeout bounds the wait for the response, which the kernel gives at once.
	diagTimeout = 20 * time.Millisecond
)

// halfOpenInterval is how often the kernel is asked for half-open connections.
const halfOpenInterval = 50 * time.Millisecond

var errDiagResponse = errors.New("malformed socket diagnosis")

// halfOpenCheck is what the kernel last said of half-open connections. Serve alone uses it.
type halfOpenCheck struct {
	at    time.Time
	found bool
}

// hasHalfOpen reports whether the kernel holds connections back from the listener. It asks the kernel only now and then.
func (s *Server) hasHalfOpen(l Listener, now time.Time) bool {
	if now.Sub(s.halfOpen.at) < halfOpenInterval {
		return s.halfOpen.found
	}
	s.halfOpen.at = now
	found, err := anyHalfOpen(l.Addr())
	if err != nil { // where the kernel may not be asked, such connections are reset with the listener
		s.options.Counters.Clients.HeldUnknown.Inc()
	}
	s.halfOpen.found = found
	return found
}

// anyHalfOpen reports whether the kernel holds connections back from a listener: their clients are connected, and they are
// not handed over since nothing has come on them (TCP_DEFER_ACCEPT).
func anyHalfOpen(listener net.Addr) (bool, error) {
	tcp, ok := listener.(*net.TCPAddr)
	if !ok {
		return false, nil
	}
	for _, family := range []byte{unix.AF_INET, unix.AF_INET6} {
		found, err := queryHalfOpen(family, uint16(tcp.Port))
		if found || err != nil {
			return found, err
		}
	}
	return false, nil
}

// queryHalfOpen reports whether there are half-open connections of one address family at a local port.
func queryHalfOpen(family byte, port uint16) (bool, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return false, err
	}
	defer func() { _ = unix.Close(fd) }()
	timeout := unix.NsecToTimeval(diagTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return false, err
	}
	kernel := &unix.SockaddrNetlink{Family: unix.AF_NETLINK}
	if err := unix.Sendto(fd, diagRequest(family, port), 0, kernel); err != nil {
		return false, err
	}
	response := make([]byte, diagResponseSize)
	n, _, err := unix.Recvfrom(fd, response, 0)
	if err != nil {
		return false, err
	}
	return beginsWithSocket(response[:n])
}

// diagRequest encodes the request.
func diagRequest(family byte, port uint16) []byte {
	b := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(b[0:], diagRequestSize)
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	b[diagFamilyOffset] = family
	b[diagProtocolOffset] = unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(b[diagStatesOffset:], 1<<tcpSynRecv)
	binary.BigEndian.PutUint16(b[diagPortOffset:], port)
	return b
}

// beginsWithSocket reports whether a response begins with a socket's message, or is only the final one.
func beginsWithSocket(response []byte) (bool, error) {
	if len(response) < unix.SizeofNlMsghdr {
		return false, errDiagResponse
	}
	switch binary.NativeEndian.Uint16(response[4:]) {
	case sockDiagByFamily:
		return true, nil
	case unix.NLMSG_DONE:
		return false, nil
	}
	return false, errDiagResponse
}
