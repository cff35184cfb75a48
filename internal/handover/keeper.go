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

// readyTime is how long the next process may take until it serves. One that hangs must not keep those after it out; by the
// operators' page it is ready within 6 s.
const readyTime = 15 * time.Second

// acceptPause is how long accepting rests after an error: most pass by themselves.
const acceptPause = 100 * time.Millisecond

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Node is the process that serves, as the next one finds it.
type Node interface {
	// Beside says that there is a second process from now on, or no longer.
	SetSibling(on bool)
	// State is what the next process should know.
	State() (json.RawMessage, error)
	// Succeeded says that the next process serves.
	SuccessorReady()
	// Hear takes what it tells after that.
	HandleMessage(Message)
}

// Keeper is the old process's side: it waits for the next one.
type Predecessor struct {
	path     string
	listen   string
	who      Identity
	clients  *net.TCPListener
	node     Node
	log      *slog.Logger
	listener *net.UnixListener
	inode    uint64

	mu   sync.Mutex
	heir *link // that has said that it serves
}

// Keep waits under the address's name for the next process. What a process before this one left there makes way; what is
// no socket stays and is an error.
func Listen(dir, listen string, who Identity, clients *net.TCPListener, node Node, log *slog.Logger) (*Predecessor, error) {
	k := &Predecessor{path: SocketPath(dir, listen), listen: listen, who: who, clients: clients, node: node, log: log}
	info, err := os.Lstat(k.path)
	if err == nil && info.Mode()&fs.ModeSocket == 0 {
		return nil, errors.New(k.path + " is no socket")
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	fresh := k.path + ".new" // renamed, so that there is one to be met at every moment
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	err = short(fresh, func(p string) error {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: p, Net: "unix"})
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false)
		k.listener = l
		return os.Chmod(p, 0o600) // whoever can speak here can take the listener
	})
	if err == nil {
		err = os.Rename(fresh, k.path)
	}
	if err == nil {
		k.inode, err = inode(k.path)
	}
	if err != nil {
		if k.listener != nil {
			_ = k.listener.Close()
		}
		return nil, err
	}
	return k, nil
}

func inode(path string) (uint64, error) {
	var s unix.Stat_t
	err := unix.Lstat(path, &s)
	return s.Ino, err
}

// Run meets one process after the other until the context ends, and takes its own name away unless the next has it.
func (k *Predecessor) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = k.listener.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.heir != nil {
			_ = k.heir.conn.Close()
		}
	})
	defer stop()
	for {
		conn, err := k.listener.AcceptUnix()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			break // the context has ended, or nothing can come any more
		}
		if err != nil { // out of descriptors, or the caller was gone already
			pause(ctx, acceptPause)
			continue
		}
		if why := k.meet(&link{conn, bufio.NewReader(conn)}); why != nil && ctx.Err() == nil {
			k.log.Warn("the next process broke off, this one goes on", "code", "handover_failed", "error", why)
		}
		_ = conn.Close()
	}
	if now, err := inode(k.path); err == nil && now == k.inode {
		_ = os.Remove(k.path)
	}
}

// Heir tells whether the next process serves, and passes a message on to it.
func (k *Predecessor) HasSuccessor() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heir != nil
}

// Tell passes a message on to the next process, if it serves.
func (k *Predecessor) Send(m Message) error {
	k.mu.Lock()
	l := k.heir
	k.mu.Unlock()
	if l == nil {
		return ErrNoPredecessor
	}
	return l.write(m)
}

// meet hands over to one process, and stays with it until one of the two ends.
func (k *Predecessor) meet(l *link) error {
	if err := sameUser(l.conn); err != nil {
		return err
	}
	m, err := l.read(stepTime)
	if err != nil {
		return err
	}
	if m.Identity.known() && !m.Identity.SameNode(k.who) { // it is told whose place this is, and gets nothing
		return errors.Join(fmt.Errorf("node %q asked for the listener of %q", m.Identity.Name, k.who.Name),
			l.write(Message{Version: Version, Listen: k.listen, Identity: k.who}))
	}
	// Also to another version: its own check tells it so, in words.
	if err := k.hand(l); err != nil {
		return err
	}
	if m.Version != Version || m.Listen != k.listen {
		return errors.New("the next process speaks another version, or serves another address")
	}
	k.node.SetSibling(true)
	defer k.node.SetSibling(false)
	defer func() {
		k.mu.Lock()
		k.heir = nil
		k.mu.Unlock()
	}()
	limit := readyTime // then for as long as the next one lives
	for {
		m, err := l.read(limit)
		if err != nil {
			return err
		}
		switch {
		case m.Request == "state":
			state, err := k.node.State()
			if err != nil {
				return err
			}
			if err := l.write(Message{State: state}); err != nil {
				return err
			}
		case m.Ready:
			k.mu.Lock()
			k.heir = l
			k.mu.Unlock()
			if err := l.write(Message{Ready: true}); err != nil {
				return err
			}
			k.log.Info("the next process serves beside this one", "code", "handover")
			k.node.SuccessorReady()
			limit = 0
		default:
			k.node.HandleMessage(m)
		}
	}
}

// hand sends the first message with the listener. Its descriptor is lent as it is: File would set the one queue of both
// processes to blocking.
func (k *Predecessor) hand(l *link) error {
	raw, err := json.Marshal(Message{Version: Version, Listen: k.listen, Identity: k.who})
	if err != nil {
		return err
	}
	clients, err := k.clients.SyscallConn()
	if err != nil {
		return err
	}
	var werr error
	err = clients.Control(func(fd uintptr) {
		_, _, werr = l.conn.WriteMsgUnix(append(raw, '\n'), unix.UnixRights(int(fd)), nil)
	})
	return errors.Join(err, werr)
}

// sameUser keeps other users of the machine from taking the listener.
func sameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	var cerr error
	if err := raw.Control(func(fd uintptr) {
		cred, cerr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if cerr == nil && int(cred.Uid) != os.Geteuid() {
		cerr = errors.New("another user's process asked for the listener")
	}
	return cerr
}
