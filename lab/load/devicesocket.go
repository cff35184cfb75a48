package load

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// duplicateInterval is the longest time between copies of a message that a device sends together.
const duplicateInterval = 5 * time.Millisecond

// codeOffset is the offset of the code in a CoAP message (RFC 7252, 3).
const codeOffset = 1

// deviceSocket is the socket of a CoAP device. It is connected, so that the kernel reports each datagram that reached a closed port.
// While a node is replaced no process can receive a device's messages, nor count the time since the first of them.
type deviceSocket struct {
	*net.UDPConn

	mu       sync.Mutex    // guards the fields below, and the order of writes and the reports about them
	request  bool          // the latest datagram was a request
	message  []byte        // the latest request
	latestAt time.Time     // when its latest copy was written
	refused  bool          // its latest copy reached a closed port
	received bool          // a copy before the latest reached the node
	delay    time.Duration // for which the requests reached only a closed port
}

// dialDevice opens a device's socket to a node.
func dialDevice(node *net.UDPAddr) (*deviceSocket, error) {
	conn, err := net.DialUDP("udp", nil, node)
	if err != nil {
		return nil, err
	}
	return &deviceSocket{UDPConn: conn}, nil
}

// WriteTo sends a datagram to the node. A datagram to a closed port counts as sent, as if the network had lost it.
func (s *deviceSocket) WriteTo(datagram []byte, _ net.Addr) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.Write(datagram)
	if errors.Is(err, syscall.ECONNREFUSED) { // it is about the datagram before, and this one was not sent
		s.recordRefusal()
		n, err = s.Write(datagram)
	}
	s.recordWrite(datagram, time.Now())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return len(datagram), nil
	}
	return n, err
}

// ReadFrom returns the next datagram from the node. It skips the reports about a closed port.
func (s *deviceSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.UDPConn.ReadFrom(buffer)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return n, from, err
		}
		s.mu.Lock()
		s.recordRefusal()
		s.mu.Unlock()
	}
}

// recordWrite records that a datagram was sent. A copy of the latest request adds to the delay if the node got none before it.
func (s *deviceSocket) recordWrite(datagram []byte, now time.Time) {
	s.request = datagram[codeOffset] != byte(codes.Empty)
	switch {
	case !s.request:
		return
	case !bytes.Equal(datagram, s.message):
		s.message, s.received, s.refused = bytes.Clone(datagram), false, false
	case now.Sub(s.latestAt) > duplicateInterval:
		s.received = s.received || !s.refused
		if !s.received {
			s.delay += now.Sub(s.latestAt)
		}
		s.refused = false
	}
	s.latestAt = now
}

// recordRefusal records that the latest datagram reached a closed port.
func (s *deviceSocket) recordRefusal() {
	s.refused = s.refused || s.request
}

// takeDelay returns for how long the device's requests reached only a closed port since the last call.
func (s *deviceSocket) takeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.delay
	s.delay = 0
	return delay
}
