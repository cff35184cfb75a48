package ingress

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// A connection is half-open while the kernel defers it because no data has arrived (see DeferAccept). The kernel lists half-open
// connections through its socket diagnosis interface (sock_diag(7)). The request specifies a local port and a TCP state. The
// response has one message for each socket and a final message.
const (
	diagRequestSize    = unix.SizeofNlMsghdr + 56 // bytes: header and struct inet_diag_req_v2
	diagFamilyOffset   = unix.SizeofNlMsghdr
	diagProtocolOffset = diagFamilyOffset + 1
	diagStatesOffset   = diagFamilyOffset + 4
	diagPortOffset     = diagFamilyOffset + 8
	sockDiagByFamily   = 20      // SOCK_DIAG_BY_FAMILY
	tcpSynRecv         = 3       // TCP_SYN_RECV
	diagResponseSize   = 8 << 10 // bytes, of the receive buffer

	// diagTimeout limits the wait for the response, which the kernel normally sends at once.
	diagTimeout = 20 * time.Millisecond
)

// halfOpenInterval is the shortest time between two queries for half-open connections.
const halfOpenInterval = 50 * time.Millisecond

var errDiagResponse = errors.New("malformed sock_diag response from the kernel")

// halfOpenCheck is the result of the latest query for half-open connections. Only the goroutine that runs Serve uses it.
type halfOpenCheck struct {
	checkedAt time.Time
	found     bool
}

// hasHalfOpen reports whether the kernel defers connections of the listener. It queries the kernel at most once per
// halfOpenInterval and returns the latest result in between.
func (s *Server) hasHalfOpen(l Listener, now time.Time) bool {
	if now.Sub(s.halfOpen.checkedAt) < halfOpenInterval {
		return s.halfOpen.found
	}
	s.halfOpen.checkedAt = now
	found, err := anyHalfOpen(l.Addr())
	if err != nil { // without a result, such as when the query is not permitted, deferred connections are reset with the listener
		s.options.Counters.Clients.DeferAcceptUnknown.Inc()
	}
	s.halfOpen.found = found
	return found
}

// anyHalfOpen reports whether the kernel defers connections of a listener (TCP_DEFER_ACCEPT). The clients of such connections
// are connected, but accept does not return the connections until data arrives on them.
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

// queryHalfOpen reports whether there are half-open connections of one address family on a local port.
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
	kernelAddr := &unix.SockaddrNetlink{Family: unix.AF_NETLINK}
	if err := unix.Sendto(fd, diagRequest(family, port), 0, kernelAddr); err != nil {
		return false, err
	}
	response := make([]byte, diagResponseSize)
	n, _, err := unix.Recvfrom(fd, response, 0)
	if err != nil {
		return false, err
	}
	return startsWithSocketMessage(response[:n])
}

// diagRequest encodes a sock_diag request for the half-open connections of one address family on a local port.
func diagRequest(family byte, port uint16) []byte {
	request := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(request[0:], diagRequestSize)
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request[diagFamilyOffset] = family
	request[diagProtocolOffset] = unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStatesOffset:], 1<<tcpSynRecv)
	binary.BigEndian.PutUint16(request[diagPortOffset:], port)
	return request
}

// startsWithSocketMessage returns true if the response starts with the message of a socket, and false if it consists of the
// final message only.
func startsWithSocketMessage(response []byte) (bool, error) {
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
