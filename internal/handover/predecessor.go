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
	// readyTimeout is how long a successor may take until it serves. It is ready within 6 s if all is well; one that hangs must
	// not keep a later one out.
	readyTimeout = 15 * time.Second

	// acceptErrorPause passes after an error of accept. Most go away by themselves.
	acceptErrorPause = 100 * time.Millisecond
)

var (
	// ErrNoSuccessor means that no other process has taken over.
	ErrNoSuccessor = errors.New("no process has taken over")

	errOtherVersion = errors.New("the successor has another version or another address")
)

// Node is the process that serves, as its successor finds it.
type Node interface {
	// SetSibling reports whether there is a second process of the node.
	SetSibling(present bool)
	// State returns what the successor should know.
	State() (json.RawMessage, error)
	// SuccessorReady says that the successor serves.
	SuccessorReady()
	// HandleMessage takes the successor's messages after that.
	HandleMessage(Message)
}

// Predecessor is the old process's side of a handover: it waits for a successor.
type Predecessor struct {
	path     string
	listen   string // the clients' address
	identity Identity
	clients  *net.TCPListener
	node     Node
	log      *slog.Logger
	listener *net.UnixListener
	inode    uint64 // of the socket's file

	mu        sync.Mutex
	successor *messageConn // once it has said that it serves
}

// Listen waits for a successor at the socket of a clients' address. A socket that an earlier process left is replaced; another kind
// of file stays, and is an error.
func Listen(dir, listen string, identity Identity, clients *net.TCPListener, node Node, log *slog.Logger) (*Predecessor, error) {
	p := &Predecessor{path: SocketPath(dir, listen), listen: listen, identity: identity, clients: clients, node: node, log: log}
	info, err := os.Lstat(p.path)
	if err == nil && info.Mode()&fs.ModeSocket == 0 {
		return nil, errors.New(p.path + " is no socket")
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err := p.bind(); err != nil {
		if p.listener != nil {
			_ = p.listener.Close()
		}
		return nil, err
	}
	return p, nil
}

// bind makes the socket under another name and renames it, so that a successor finds one at every moment.
func (p *Predecessor) bind() error {
	temporary := p.path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	err := withShortPath(temporary, func(short string) error {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false)
		p.listener = l
		return os.Chmod(short, 0o600) // whoever can connect can take the listener
	})
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, p.path); err != nil {
		return err
	}
	p.inode, err = inodeOf(p.path)
	return err
}

func inodeOf(path string) (uint64, error) {
	var s unix.Stat_t
	err := unix.Lstat(path, &s)
	return s.Ino, err
}

// Run serves one successor after the other until the context ends. Then it removes the socket's file, unless that is the
// successor's by now.
func (p *Predecessor) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, p.close)()
	for {
		conn, err := p.listener.AcceptUnix()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // out of descriptors, or the caller has gone already
			pause(ctx, acceptErrorPause)
			continue
		}
		err = p.handOver(&messageConn{conn: conn, reader: bufio.NewReader(conn)})
		if err != nil && ctx.Err() == nil {
			p.log.Warn("the successor has disconnected, this process goes on", "code", "handover_failed", "error", err)
		}
		_ = conn.Close()
	}
	if inode, err := inodeOf(p.path); err == nil && inode == p.inode {
		_ = os.Remove(p.path)
	}
}

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// close has blocked accepts and reads return.
func (p *Predecessor) close() {
	_ = p.listener.Close()
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

// Send sends a message to the successor; without one that serves the error is ErrNoSuccessor.
func (p *Predecessor) Send(m Message) error {
	p.mu.Lock()
	c := p.successor
	p.mu.Unlock()
	if c == nil {
		return ErrNoSuccessor
	}
	return c.write(m)
}

// handOver hands the listener to a successor, and stays with it until one of the two ends.
func (p *Predecessor) handOver(c *messageConn) error {
	if err := checkSameUser(c.conn); err != nil {
		return err
	}
	m, err := c.read(stepTimeout)
	if err != nil {
		return err
	}
	if m.Identity.foreign(p.identity) { // it learns whose address this is, and gets no listener
		return errors.Join(fmt.Errorf("node %q asked for the listener of %q", m.Identity.Name, p.identity.Name), c.write(p.hello()))
	}
	// A process of another version gets the listener too: its own check of the version says so in its log.
	if err := sendListener(c.conn, p.clients, p.hello()); err != nil {
		return err
	}
	if m.Version != Version || m.Listen != p.listen {
		return errOtherVersion
	}
	p.node.SetSibling(true)
	defer p.node.SetSibling(false)
	defer p.setSuccessor(nil)
	return p.serve(c)
}

// hello is the first message.
func (p *Predecessor) hello() Message {
	return Message{Version: Version, Listen: p.listen, Identity: p.identity}
}

// serve answers a successor until one of the two ends.
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
			timeout = 0 // from now on for as long as it lives
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

// acceptSuccessor notes that the successor serves.
func (p *Predecessor) acceptSuccessor(c *messageConn) error {
	p.setSuccessor(c)
	if err := c.write(Message{Ready: true}); err != nil {
		return err
	}
	p.log.Info("the successor serves beside this process", "code", "handover")
	p.node.SuccessorReady()
	return nil
}
