package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readyTimeout limits the wait for each message of a successor that is not ready yet. A working successor is ready within
	// 6 s; one that hangs must not block the next one.
	readyTimeout = 15 * time.Second

	// acceptRetryDelay is the delay after a failed accept. Most such errors are temporary.
	acceptRetryDelay = 100 * time.Millisecond
)

var (
	// ErrNoSuccessor means that there is no successor that serves.
	ErrNoSuccessor = errors.New("no process has taken over")

	errOtherVersion = errors.New("the successor has another version or another address")
)

// Node is the interface through which a Predecessor uses the node of its process.
type Node interface {
	// SetSibling notifies the node when a second process of it starts (true) or ends (false).
	SetSibling(present bool)
	// State returns the state for the successor.
	State() (json.RawMessage, error)
	// SuccessorReady is called when the successor serves.
	SuccessorReady()
	// HandleMessage handles any other message of the successor.
	HandleMessage(Message)
}

// Predecessor is the old process's side of a handover. It waits for successors at the socket.
type Predecessor struct {
	socketPath     string
	clientAddress  string // address that clients connect to
	identity       Identity
	clientListener *net.TCPListener
	node           Node
	log            *slog.Logger
	socketListener *net.UnixListener
	inode          uint64 // of the socket's file

	mu        sync.Mutex
	successor *messageConn // nil until a successor serves
}

// Listen opens the handover socket for a clients' address; Run serves it. A socket that an earlier process left is replaced. Any
// other kind of file at its path is left unchanged, and an error is returned.
func Listen(
	dir, clientAddress string, identity Identity, clientListener *net.TCPListener, node Node, log *slog.Logger,
) (*Predecessor, error) {
	p := &Predecessor{socketPath: SocketPath(dir, clientAddress), clientAddress: clientAddress, identity: identity,
		clientListener: clientListener, node: node, log: log}
	info, err := os.Lstat(p.socketPath)
	if err == nil && info.Mode()&fs.ModeSocket == 0 {
		return nil, errors.New(p.socketPath + " is not a socket")
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err := p.bind(); err != nil {
		if p.socketListener != nil {
			_ = p.socketListener.Close()
		}
		return nil, err
	}
	return p, nil
}

// bind creates the socket under a temporary name and renames it, so that a successor finds a socket at any time.
func (p *Predecessor) bind() error {
	temporary := p.socketPath + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	err := withShortPath(temporary, func(short string) error {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false)
		p.socketListener = l
		return os.Chmod(short, 0o600) // any process that can connect can request the listener
	})
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, p.socketPath); err != nil {
		return err
	}
	p.inode, err = inodeOf(p.socketPath)
	return err
}

func inodeOf(path string) (uint64, error) {
	var s unix.Stat_t
	err := unix.Lstat(path, &s)
	return s.Ino, err
}

// Run serves one successor at a time until the context ends. Then it removes the socket's file, unless a successor has replaced it
// with its own.
func (p *Predecessor) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, p.close)()
	for {
		conn, err := p.socketListener.AcceptUnix()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // out of descriptors, or the successor has disconnected already
			pause(ctx, acceptRetryDelay)
			continue
		}
		err = p.handOver(&messageConn{conn: conn, reader: bufio.NewReader(conn)})
		if err != nil && ctx.Err() == nil {
			p.log.Warn("handover to the successor ended, this process continues to serve", "code", "handover_failed", "error", err)
		}
		_ = conn.Close()
	}
	if inode, err := inodeOf(p.socketPath); err == nil && inode == p.inode {
		_ = os.Remove(p.socketPath)
	}
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// close closes the socket and the connection to the successor, so that blocked accepts and reads return.
func (p *Predecessor) close() {
	_ = p.socketListener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil {
		_ = p.successor.conn.Close()
	}
}

func (p *Predecessor) setSuccessor(c *messageConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successor = c
}

// Send sends a message to the successor. It returns ErrNoSuccessor if no successor serves.
func (p *Predecessor) Send(m Message) error {
	p.mu.Lock()
	c := p.successor
	p.mu.Unlock()
	if c == nil {
		return ErrNoSuccessor
	}
	return c.write(m)
}

// handOver sends the listener to a successor, and serves the successor until one of the two processes ends.
func (p *Predecessor) handOver(c *messageConn) error {
	if err := checkSameUser(c.conn); err != nil {
		return err
	}
	m, err := c.read(stepTimeout)
	if err != nil {
		return err
	}
	if m.Identity.belongsToOtherNode(p.identity) { // it receives this node's identity, but not the listener
		return errors.Join(fmt.Errorf("node %q requested the listener of node %q", m.Identity.Name, p.identity.Name), c.write(p.hello()))
	}
	// A process with another version receives the listener too. It detects the difference itself and logs it.
	if err := sendListener(c.conn, p.clientListener, p.hello()); err != nil {
		return err
	}
	if m.Version != Version || m.Listen != p.clientAddress {
		return errOtherVersion
	}
	p.node.SetSibling(true)
	defer p.node.SetSibling(false)
	defer p.setSuccessor(nil)
	return p.serve(c)
}

// hello returns the first message, which identifies this process.
func (p *Predecessor) hello() Message {
	return Message{Version: Version, Listen: p.clientAddress, Identity: p.identity}
}

// serve responds to a successor's messages until one of the two processes ends.
func (p *Predecessor) serve(c *messageConn) error {
	timeout := readyTimeout
	for {
		m, err := c.read(timeout)
		if err != nil {
			return err
		}
		switch {
		case m.Request == requestState:
			err = p.sendState(c)
		case m.Ready:
			err = p.acceptSuccessor(c)
			timeout = 0 // no timeout for a successor that serves
		default:
			p.node.HandleMessage(m)
		}
		if err != nil {
			return err
		}
	}
}

func (p *Predecessor) sendState(c *messageConn) error {
	state, err := p.node.State()
	if err != nil {
		return err
	}
	return c.write(Message{State: state})
}

// acceptSuccessor registers a successor that serves, and sends it the confirmation.
func (p *Predecessor) acceptSuccessor(c *messageConn) error {
	p.setSuccessor(c)
	if err := c.write(Message{Ready: true}); err != nil {
		return err
	}
	p.log.Info("the successor serves alongside this process", "code", "handover")
	p.node.SuccessorReady()
	return nil
}
