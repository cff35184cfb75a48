package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/quota"
)

const (
	// callTime bounds a call at the local socket, callers how many there are at once.
	callTime, callers = time.Second, 4

	// pathMost is what the kernel takes for a local socket's path, less its end.
	pathMost = 107
)

// local answers `tackhub members` on a Unix socket in $TMPDIR: each caller gets the status as JSON.
type local struct {
	l        *link
	listener *net.UnixListener
}

// SocketPath is where a member answers locally.
func SocketPath(dir, member string) string {
	return filepath.Join(dir, "tackhub-members-"+member+".sock")
}

// openLocal makes the socket; nil where $TMPDIR names no place. A file that a dead process left makes way.
func openLocal(l *link) (*local, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		l.log.Info("tackhub members will not find this process: $TMPDIR is not set", "code", "cluster_local")
		return nil, nil
	}
	path := SocketPath(dir, l.name)
	if len(path) > pathMost {
		return nil, fmt.Errorf("%s is too long for a local socket, %d bytes at most", path, pathMost)
	}
	if conn, err := net.DialTimeout("unix", path, callTime); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("name: another process here is the member %s (%s answers)", l.name, path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("the local socket: %w", err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("the local socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil { // the same user alone
		_ = listener.Close()
		return nil, fmt.Errorf("the local socket: %w", err)
	}
	return &local{l, listener}, nil
}

func (s *local) close() {
	if s != nil {
		_ = s.listener.Close() // which removes the file
	}
}

func (s *local) run(ctx context.Context) {
	if s == nil {
		return
	}
	places := make(chan struct{}, callers)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(callTime):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
		s.l.ending.Go(func() {
			defer func() {
				_ = conn.Close()
				<-places
			}()
			_ = conn.SetDeadline(time.Now().Add(callTime))
			if status, ok := s.l.status(ctx); ok {
				_ = json.NewEncoder(conn).Encode(status) // a caller that has gone needs none
			}
		})
	}
}

// Status is what a member tells of itself.
type Status struct {
	membership.Status
	Quota    *QuotaStatus    `json:"shares,omitempty"`   // nil where they are off
	Overload *OverloadStatus `json:"overload,omitempty"` // likewise
}

// Shares are a member's part in what the whole fleet may use together.
type QuotaStatus struct {
	quota.Status
	Allocations []AllocationRecord `json:"told"` // the last ones that the module was told
}

// Told is a share as the module has had it from a moment on. Times are Unix nanoseconds by the machine's clock; from Until on
// After holds.
type AllocationRecord struct {
	At            int64   `json:"at_ns"`
	Fraction      float64 `json:"value"`
	ValidUntil    int64   `json:"until_ns"`
	FractionAfter float64 `json:"after"`
}

// status asks the core's owner.
func (l *link) status(ctx context.Context) (out Status, ok bool) {
	done := make(chan struct{})
	select {
	case l.asks <- func() { out = Status{l.core.Status(), l.fleet.status(), l.load.status()}; close(done) }:
		<-done
		return out, true
	case <-ctx.Done():
	case <-time.After(callTime):
	}
	return out, false
}

// Ask gets a running member's status over its local socket.
func QueryStatus(path string) (Status, []byte, error) {
	var out Status
	conn, err := net.DialTimeout("unix", path, callTime)
	if err != nil {
		return out, nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * callTime))
	raw, err := io.ReadAll(io.LimitReader(conn, 8<<20))
	if err == nil && len(raw) == 0 {
		err = errors.New("the process gave no answer")
	}
	if err != nil {
		return out, nil, err
	}
	return out, raw, json.Unmarshal(raw, &out)
}
