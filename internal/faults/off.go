//go:build !faultinject

package faults

import "syscall"

// Accept returns the error with which accept(2) fails; nil: it is to be called.
func Accept() error { return nil }

// Connect is called before each connect(2), as a net.Dialer.Control; nil: no faults are injected.
var Connect func(network, address string, raw syscall.RawConn) error
