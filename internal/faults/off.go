//go:build !faultinject

package faults

import "syscall"

// Accept is called before each accept(2). It returns nil because this build injects no faults.
func Accept() error { return nil }

// Connect is the net.Dialer.Control function that injects faults into connect(2). It is nil because this build injects none.
var Connect func(network, address string, raw syscall.RawConn) error
