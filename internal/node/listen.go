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

// acquiredListener is the clients' listener and, after a handover, the connection to the predecessor
// and the predecessor's state.
type acquiredListener struct {
	listener  *net.TCPListener
	successor *handover.Successor // nil without a predecessor
	state     *handoverState      // nil if the predecessor sent no readable state
}

// acquireListener returns the clients' listener. It takes over the listener of a running process of
// this node if there is one, and opens a new listener otherwise. The endpoint list of the
// predecessor replaces the one in the configuration.
func acquireListener(c *config.Config, log *slog.Logger) (acquiredListener, error) {
	id := identity(c)
	successor, err := takeOverFromPredecessor(c.Listen, id)
	switch {
	case err == nil:
		deferAccept(successor.Listener, log)
		return acquiredListener{successor.Listener, successor, requestState(c, successor, id, log)}, nil
	case errors.Is(err, handover.ErrOtherNode): // two nodes must not share an address
		return acquiredListener{}, fmt.Errorf("ROUTER_LISTEN: %s: %w", c.Listen, err)
	}
	noPredecessor := errors.Is(err, handover.ErrNoPredecessor)
	if !noPredecessor {
		log.Warn("handover from the predecessor failed, starting without it", "code", "handover_failed", "error", err)
	}
	shareAddress := !noPredecessor && !errors.Is(err, handover.ErrPredecessorGone)
	listener, err := listen(c.Listen, shareAddress)
	return acquiredListener{listener: listener}, err
}

// requestState requests the state of the predecessor. If the response is missing or unreadable, it
// returns nil, and this process starts without the state, since clients need only the listener.
func requestState(c *config.Config, successor *handover.Successor, id handover.Identity, log *slog.Logger) *handoverState {
	state := &handoverState{}
	raw, err := successor.RequestState()
	if err == nil {
		err = json.Unmarshal(raw, state)
	}
	if err != nil {
		log.Warn("the predecessor sent no readable state", "code", "handover_failed", "error", err)
		return nil
	}
	state.dropIncompatible(successor.PredecessorIdentity, id)
	if successor.PredecessorIdentity != id {
		log.Warn("the predecessor has different settings or another discovery address, the state that depends on them is not taken over",
			"code", "handover_part", "list", state.listKnown(), "records", len(state.Balancer.Servers) > 0)
	}
	if state.listKnown() {
		c.Known = state.List
	}
	return state
}

// deferAccept makes the kernel defer accepting connections without data on a listener that was taken
// over. A predecessor that is shutting down has turned this off for the shared socket.
func deferAccept(l *net.TCPListener, log *slog.Logger) {
	raw, err := l.SyscallConn()
	if err == nil {
		err = ingress.DeferAccept("tcp", l.Addr().String(), raw)
	}
	if err != nil {
		log.Warn("cannot turn on deferred accept", "code", "defer_accept", "error", err)
	}
}

// takeOverFromPredecessor takes over the listener of a running process of this node, whose handover
// socket is in $TMPDIR.
func takeOverFromPredecessor(address string, id handover.Identity) (*handover.Successor, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return nil, handover.ErrNoPredecessor
	}
	return handover.TakeOver(dir, address, id)
}

// listen opens a listener at the clients' address. If shareAddress is true, a running process of this
// node that cannot hand over its listener may be listening at the address too. Otherwise, there is no
// sign of such a process, so an address in use counts as another program's, and listen returns an error.
func listen(address string, shareAddress bool) (*net.TCPListener, error) {
	if !shareAddress {
		free, err := freeAddress(address)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
		}
		address = free
	}
	listenConfig := net.ListenConfig{Control: controlListener}
	l, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("ROUTER_LISTEN: the listener at %s is not a TCP listener", address)
	}
	return tcp, nil
}

// freeAddress checks that no process listens at an address, and returns the address. If its port is
// 0, the result has a free port instead.
func freeAddress(address string) (string, error) {
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	address = probe.Addr().String()
	return address, probe.Close()
}

// controlListener sets the socket options of the clients' listener: a later process may listen at the
// same address, and the kernel defers accepting connections without data.
func controlListener(network, address string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr, ingress.DeferAccept(network, address, raw))
}
