// Package loopback allocates loopback addresses, each with its own host. Outgoing connections use 127.0.0.1 as their local
// address, so they never occupy the port of a listener that is reopened on its previous address.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var hostCount atomic.Int64

// NextHost returns a loopback host that this process has not returned before. Two processes rarely get the same host, and
// if they do, the kernel assigns them different ports.
func NextHost() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200%250, 1+n%200)
}

// FreeAddress returns an address on which no socket listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", NextHost()+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
