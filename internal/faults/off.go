//go:build !faultinject

package faults

import "syscall"

// Accept fails in place of accept(2), where faults are injected.
func Accept() error { return nil }

// Connect is called before each connect(2); nil: faults are not injected.
var Connect func(network, address string, raw syscall.RawConn) error
