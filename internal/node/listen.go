package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/handover"
	"tackhub.example/tackhub/internal/ingress"
)

// acquired is the clients' listener, and what came with it from the predecessor.
type acquired struct {
	listener  *net.TCPListener
	successor *handover.Successor // nil at a plain start
	state     *transferredNode    // nil where the predecessor told nothing that can be read
}

// acquireListener gets the clients' listener: from the process that serves, where there is one,
// otherwise a new one. The endpoint list of the predecessor replaces what the configuration
// knows.
func acquireListener(c *config.Config, log *slog.Logger) (acquired, error) {
	id := identity(c)
	successor, err := takeOverFromPredecessor(c.Listen, id)
	switch {
	case err == nil:
		deferAccept(successor.Listener, log)
		return acquired{successor.Listener, successor, requestState(c, successor, id, log)}, nil
	case errors.Is(err, handover.ErrOtherNode): // nor may the address be shared with it
		return acquired{}, fmt.Errorf("ROUTER_LISTEN: %s: %w", c.Listen, err)
	}
	noPredecessor := errors.Is(err, handover.ErrNoPredecessor)
	if !noPredecessor {
		log.Warn("nothing can be taken over, starting plainly", "code", "handover_failed", "error", err)
	}
	shareAddress := !noPredecessor && !errors.Is(err, handover.ErrPredecessorGone)
	listener, err := listen(c.Listen, shareAddress)
	return acquired{listener: listener}, err
}

// requestState asks the predecessor for what it knows. Without an answer that can be read this
// process starts all the same: the listener is what clients need.
func requestState(c *config.Config, successor *handover.Successor, id handover.Identity, log *slog.Logger) *transferredNode {
	state := &transferredNode{}
	raw, err := successor.RequestState()
	if err == nil {
		err = json.Unmarshal(raw, state)
	}
	if err != nil {
		log.Warn("the predecessor sent no state that can be read", "code", "handover_failed", "error", err)
		return nil
	}
	state.dropIncompatible(successor.PredecessorIdentity, id)
	if successor.PredecessorIdentity != id {
		log.Warn("the predecessor has other settings or another discovery: what depends on them is not taken over",
			"code", "handover_part", "list", len(state.List.Members) > 0, "records", len(state.Balancer.Servers) > 0)
	}
	if len(state.List.Members) > 0 {
		c.Known = state.List
	}
	return state
}

// deferAccept has the kernel hold silent connections back from a listener that was taken over: a
// process that is ending has told it not to.
func deferAccept(l *net.TCPListener, log *slog.Logger) {
	raw, err := l.SyscallConn()
	if err == nil {
		err = ingress.DeferAccept("tcp", l.Addr().String(), raw)
	}
	if err != nil {
		log.Warn("silent connections are not held back by the kernel", "code", "defer_accept", "error", err)
	}
}

// takeOverFromPredecessor meets the process that serves under $TMPDIR.
func takeOverFromPredecessor(address string, id handover.Identity) (*handover.Successor, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return nil, handover.ErrNoPredecessor
	}
	return handover.TakeOver(dir, address, id)
}

// listen opens the clients' address. Beside a process that can't hand over, both listen there for a
// while; without a sign of one, an address in use is somebody else's.
func listen(address string, shareAddress bool) (*net.TCPListener, error) {
	if !shareAddress {
		free, err := freeAddress(address)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
		}
		address = free
	}
	config := net.ListenConfig{Control: controlListener}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("ROUTER_LISTEN: %s gives no TCP listener", address)
	}
	return tcp, nil
}

// freeAddress checks that nobody listens at an address, and returns it with the port that 0 became.
func freeAddress(address string) (string, error) {
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	address = probe.Addr().String()
	return address, probe.Close()
}

// controlListener lets a later process listen at the same address, and has the kernel hold silent
// connections back.
func controlListener(network, address string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr, ingress.DeferAccept(network, address, raw))
}
