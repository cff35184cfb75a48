package ingress

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel is asked for half-open connections over its socket diagnosis (sock_diag(7)): a request for all TCP sockets of one
// local port and state, answered with one message for each and a closing one.
const (
	diagRequestSize = unix.SizeofNlMsghdr + 56 // struct inet_diag_req_v2
	diagFamilyAt    = unix.SizeofNlMsghdr
	diagProtocolAt  = diagFamilyAt + 1
	diagStatesAt    = diagFamilyAt + 4
	diagPortAt      = diagFamilyAt + 8
	sockDiagFamily  = 20 // SOCK_DIAG_BY_FAMILY
	stateSynRecv    = 3  // TCP_SYN_RECV
	diagAnswerSize  = 8 << 10

	// diagWait bounds the wait for the answer, which the kernel gives at once.
	diagWait = 20 * time.Millisecond
)

var errDiagAnswer = errors.New("the kernel's answer cannot be read")

// anyHeldBack reports whether the kernel holds connections back from a listener: accepted from their clients, and not handed
// over since nothing has come on them (TCP_DEFER_ACCEPT).
func anyHeldBack(listener net.Addr) (bool, error) {
	tcp, ok := listener.(*net.TCPAddr)
	if !ok {
		return false, nil
	}
	for _, family := range []byte{unix.AF_INET, unix.AF_INET6} {
		any, err := askHalfOpen(family, uint16(tcp.Port))
		if any || err != nil {
			return any, err
		}
	}
	return false, nil
}

// askHalfOpen asks for the half-open connections of one address family at a local port.
func askHalfOpen(family byte, port uint16) (bool, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return false, err
	}
	defer func() { _ = unix.Close(fd) }()
	limit := unix.NsecToTimeval(diagWait.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &limit); err != nil {
		return false, err
	}
	if err := unix.Sendto(fd, diagRequest(family, port), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return false, err
	}
	answer := make([]byte, diagAnswerSize)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return false, err
	}
	return firstIsSocket(answer[:n])
}

// diagRequest is the request as the kernel reads it.
func diagRequest(family byte, port uint16) []byte {
	b := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(b[0:], diagRequestSize)
	binary.NativeEndian.PutUint16(b[4:], sockDiagFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	b[diagFamilyAt] = family
	b[diagProtocolAt] = unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(b[diagStatesAt:], 1<<stateSynRecv)
	binary.BigEndian.PutUint16(b[diagPortAt:], port)
	return b
}

// firstIsSocket reports whether an answer names a socket, or is only the closing message.
func firstIsSocket(answer []byte) (bool, error) {
	if len(answer) < unix.SizeofNlMsghdr {
		return false, errDiagAnswer
	}
	switch binary.NativeEndian.Uint16(answer[4:]) {
	case sockDiagFamily:
		return true, nil
	case unix.NLMSG_DONE:
		return false, nil
	}
	return false, errDiagAnswer
}
