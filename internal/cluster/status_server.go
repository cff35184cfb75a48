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
	// statusTimeout limits each step of a call over the local socket.
	statusTimeout = time.Second

	// maxStatusCallers limits the callers that are served concurrently.
	maxStatusCallers = 4

	// maxStatusBytes limits the bytes that a caller reads.
	maxStatusBytes = 8 << 20

	// maxSocketPath is the kernel's limit on the path of a Unix socket, in bytes without the terminating zero.
	maxSocketPath = 107
)

var errNoAnswer = errors.New("the process closed its local socket without sending a status")

// statusServer answers `tackhub members` and `tackhub overload` on a Unix socket in $TMPDIR. Each caller gets the status as JSON. If
// $TMPDIR is not set, the server is nil and its methods do nothing.
type statusServer struct {
	link     *link
	listener *net.UnixListener
}

// SocketPath returns the path of a member's local socket.
func SocketPath(dir, member string) string {
	return filepath.Join(dir, "tackhub-members-"+member+".sock")
}

// listenStatus opens the socket. It returns nil if $TMPDIR is not set. A socket file left behind by an ended process is replaced.
func listenStatus(l *link) (*statusServer, error) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		l.log.Info("no local status socket: $TMPDIR is not set, so `tackhub members` cannot query this process", "code", "cluster_local")
		return nil, nil
	}
	path := SocketPath(dir, l.name)
	if len(path) > maxSocketPath {
		return nil, fmt.Errorf("path of the local socket %s has %d bytes, want at most %d", path, len(path), maxSocketPath)
	}
	if conn, err := net.DialTimeout("unix", path, statusTimeout); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("name: another process on this machine already runs as member %s (%s answers)", l.name, path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("local socket: %w", err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("local socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil { // accessible to the same user only
		_ = listener.Close()
		return nil, fmt.Errorf("local socket: %w", err)
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
			select { // an error such as a lack of file descriptors: retry after a delay
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

// answer writes the status to one caller. Write errors are ignored, since the caller has closed the connection in that
// case.
func (s *statusServer) answer(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(statusTimeout))
	if status, ok := s.link.currentStatus(ctx); ok {
		_ = json.NewEncoder(conn).Encode(status)
	}
}

// QueryStatus reads a running member's status from its local socket. It returns the decoded status and the JSON text.
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
