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
)

const (
	// statusTimeout is for one step of a call at the local socket.
	statusTimeout = time.Second

	// maxStatusCallers are served at once.
	maxStatusCallers = 4

	// maxStatusBytes is the most that a caller reads.
	maxStatusBytes = 8 << 20

	// maxSocketPath is what the kernel takes for a Unix socket's path, in bytes without the terminator.
	maxSocketPath = 107
)

var errNoAnswer = errors.New("the process gave no answer")

// statusServer answers `tackhub members` on a Unix socket in $TMPDIR: each caller gets the status as JSON. A nil server, without a
// place for the socket, does nothing.
type statusServer struct {
	link     *link
	listener *net.UnixListener
}

// SocketPath returns the path of a member's local socket.
func SocketPath(dir, member string) string {
	return filepath.Join(dir, "tackhub-members-"+member+".sock")
}

// listenStatus opens the socket; nil where $TMPDIR is not set. The file that a dead process left is replaced.
func listenStatus(l *link) (*statusServer, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		l.log.Info("tackhub members will not find this process: $TMPDIR is not set", "code", "cluster_local")
		return nil, nil
	}
	path := SocketPath(dir, l.name)
	if len(path) > maxSocketPath {
		return nil, fmt.Errorf("%s is too long for a local socket, %d bytes at most", path, maxSocketPath)
	}
	if conn, err := net.DialTimeout("unix", path, statusTimeout); err == nil {
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
	if err := os.Chmod(path, 0o600); err != nil { // for the same user alone
		_ = listener.Close()
		return nil, fmt.Errorf("the local socket: %w", err)
	}
	return &statusServer{link: l, listener: listener}, nil
}

// close ends the server and removes the socket's file.
func (s *statusServer) close() {
	if s != nil {
		_ = s.listener.Close()
	}
}

// serve answers callers until the listener is closed.
func (s *statusServer) serve(ctx context.Context) {
	if s == nil {
		return
	}
	callers := make(chan struct{}, maxStatusCallers)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select { // such as out of descriptors
			case <-time.After(statusTimeout):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case callers <- struct{}{}:
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
		s.link.tasks.Go(func() {
			s.answer(ctx, conn)
			<-callers
		})
	}
}

// answer writes the status to one caller; a caller that has gone needs none.
func (s *statusServer) answer(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(statusTimeout))
	if status, ok := s.link.currentStatus(ctx); ok {
		_ = json.NewEncoder(conn).Encode(status)
	}
}

// QueryStatus gets a running member's status over its local socket, also as the JSON that came.
func QueryStatus(path string) (Status, []byte, error) {
	var out Status
	conn, err := net.DialTimeout("unix", path, statusTimeout)
	if err != nil {
		return out, nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * statusTimeout))
	raw, err := io.ReadAll(io.LimitReader(conn, maxStatusBytes))
	if err != nil {
		return out, nil, err
	}
	if len(raw) == 0 {
		return out, nil, errNoAnswer
	}
	return out, raw, json.Unmarshal(raw, &out)
}
