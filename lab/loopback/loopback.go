// Package loopback hands out addresses of the loopback range, each with a host of its own. Connections' own ends lie on
// 127.0.0.1, so a listener that comes back at its old address never finds the port taken by one of them.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var handed atomic.Int64

// NextHost is a host that this process has not handed out before; two processes' hosts are seldom the same, and then their
// ports differ.
func NextHost() string {
	n := handed.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200%250, 1+n%200)
}

// FreeAddress is an address on which nobody listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", NextHost()+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
