package client

import (
	"math/rand/v2"
	"net"
)

// lossyConn is a socket that drops a fraction of the datagrams in both directions.
type lossyConn struct {
	net.PacketConn
	loss float64 // fraction from 0 to 1
}

// WriteTo sends a datagram or drops it.
func (l lossyConn) WriteTo(datagram []byte, to net.Addr) (int, error) {
	if rand.Float64() < l.loss {
		return len(datagram), nil
	}
	return l.PacketConn.WriteTo(datagram, to)
}

// ReadFrom receives the next datagram that is not dropped.
func (l lossyConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		n, from, err := l.PacketConn.ReadFrom(buffer)
		if err != nil || rand.Float64() >= l.loss {
			return n, from, err
		}
	}
}
