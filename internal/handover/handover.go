// Package handover lets a new version of a node take over from the one that runs. The two meet at a Unix socket under
// $TMPDIR, named after the clients' address: the new one gets the listening socket itself and what the old one knows, and
// as long as both are there they tell each other what a node must not count twice. It serves nobody and decides nothing.
package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Version is the form of the messages. Processes of different versions do not hand over.
	Version = 1

	// stepTime bounds each step between the processes. The new one is to be ready within 6 s, and one that hangs must
	// not keep it; the old one answers from memory.
	stepTime = 700 * time.Millisecond

	// maxLine bounds a message: a list of ten thousand servers with all that is known of them has some megabytes.
	maxLine = 16 << 20
)

// ErrNone says that there is no process to take over from.
var ErrNoPredecessor = errors.New("no process to take over from")

// ErrGone says that the process that left its name there has ended.
var ErrPredecessorGone = errors.New("the process before has gone")

// ErrOther says that another node's process serves at the address.
var ErrOtherNode = errors.New("another node serves at this address")

// Identity is whose process one is. The place where processes meet hangs on the clients' address alone, and whoever is met
// there may be another customer's.
type Identity struct {
	Name      string `json:"node,omitempty"`
	Discovery string `json:"discovery,omitempty"`
	Settings  string `json:"settings,omitempty"` // a digest
}

// known tells whether a process said who it is; versions before this one do not.
func (i Identity) known() bool { return i.Name != "" }

// Same tells whether two processes are one node: of one name, and with the same discovery or the same settings, either of
// which an upgrade may change.
func (i Identity) SameNode(o Identity) bool {
	return i.Name == o.Name && (i.Discovery == o.Discovery || i.Settings == o.Settings)
}

// Path is where the processes at one clients' address meet.
func SocketPath(dir, listen string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("tackhub-%016x.sock", h.Sum64()))
}

// Message is one line between the processes. The first of each side has the version and the address.
type Message struct {
	Version       int             `json:"tackhub_handover,omitempty"`
	Listen        string          `json:"listen,omitempty"`
	Identity      Identity        `json:"who,omitzero"`
	Request       string          `json:"want,omitempty"`  // "state": asks for it
	State         json.RawMessage `json:"state,omitempty"` // what the old process knows
	Ready         bool            `json:"ready,omitempty"` // the new process serves, or the old one has noted it
	Drained       *bool           `json:"drained,omitempty"`
	RequestOpened string          `json:"opened,omitempty"` // the id of a request taken in
	RequestClosed string          `json:"closed,omitempty"` // ... that has ended
}

// link is one side of the connection between the processes.
type link struct {
	conn *net.UnixConn
	r    *bufio.Reader
}

func (l *link) read(limit time.Duration) (Message, error) {
	var m Message
	var at time.Time
	if limit > 0 {
		at = time.Now().Add(limit)
	}
	if err := l.conn.SetReadDeadline(at); err != nil {
		return m, err
	}
	return l.next()
}

// next reads one line, which may not be longer than there is reason for.
func (l *link) next() (m Message, err error) {
	var line []byte
	for {
		part, err := l.r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(line) < maxLine:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return m, errors.New("a message without an end")
		case err != nil:
			return m, err
		}
		return m, json.Unmarshal(line, &m)
	}
}

func (l *link) write(m Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(stepTime)); err != nil {
		return err
	}
	_, err = l.conn.Write(append(raw, '\n'))
	return err
}

// short calls f with a path to name in dir that fits a socket's address, which holds about a hundred bytes.
func short(path string, f func(string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Heir is the new process's side.
type Successor struct {
	Listener            *net.TCPListener // the one that clients come to
	PredecessorIdentity Identity         // of the old process; empty where its version does not say
	link                link
}

// Take asks the process that serves at the address for its listener. ErrNone: there is none; ErrGone: it has ended; ErrOther:
// it is another node's; any other error: there is something that cannot hand over.
func TakeOver(dir, listen string, who Identity) (*Successor, error) {
	path := SocketPath(dir, listen)
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, ErrNoPredecessor
	case err != nil:
		return nil, err
	case info.Mode()&fs.ModeSocket == 0:
		return nil, fmt.Errorf("%s is no socket", filepath.Base(path))
	}
	var conn net.Conn
	err = short(path, func(p string) error {
		conn, err = net.DialTimeout("unix", p, stepTime)
		return err
	})
	if errors.Is(err, unix.ECONNREFUSED) { // it was killed; whoever listens at the address now is somebody else
		return nil, ErrPredecessorGone
	}
	if err != nil {
		return nil, err
	}
	h := &Successor{link: link{conn: conn.(*net.UnixConn)}}
	if h.Listener, err = h.hello(listen, who); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return h, nil
}

// hello exchanges the first messages; the listener comes with the first byte of the old process's.
func (h *Successor) hello(listen string, who Identity) (*net.TCPListener, error) {
	if err := h.link.write(Message{Version: Version, Listen: listen, Identity: who}); err != nil {
		return nil, err
	}
	if err := h.link.conn.SetReadDeadline(time.Now().Add(stepTime)); err != nil {
		return nil, err
	}
	first, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, have, _, _, err := h.link.conn.ReadMsgUnix(first, rights)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, errors.New("the old process closed")
	}
	file, ferr := fileOf(rights[:have])
	if ferr == nil {
		defer func() { _ = file.Close() }() // FileListener makes its own copy
	}
	h.link.r = bufio.NewReader(io.MultiReader(&oneByte{first[0], false}, h.link.conn))
	m, err := h.link.read(stepTime)
	h.PredecessorIdentity = m.Identity
	switch {
	case err != nil:
		return nil, err
	case m.Identity.known() && !m.Identity.SameNode(who):
		return nil, fmt.Errorf("%w: %q", ErrOtherNode, m.Identity.Name)
	case ferr != nil:
		return nil, ferr
	case m.Version != Version || m.Listen != listen:
		return nil, fmt.Errorf("the old process speaks version %d for %q", m.Version, m.Listen)
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errors.New("what was handed over is no TCP listener"), l.Close())
	}
	return tcp, nil
}

// oneByte gives back the byte that was read alone.
type oneByte struct {
	b    byte
	done bool
}

func (o *oneByte) Read(p []byte) (int, error) {
	if o.done || len(p) == 0 {
		return 0, io.EOF
	}
	o.done, p[0] = true, o.b
	return 1, nil
}

// fileOf is the one descriptor that came along.
func fileOf(rights []byte) (*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := unix.ParseUnixRights(&m)
		if err != nil || len(fds) == 0 {
			continue
		}
		for _, fd := range fds[1:] {
			_ = unix.Close(fd)
		}
		unix.CloseOnExec(fds[0])
		return os.NewFile(uintptr(fds[0]), "listener"), nil
	}
	return nil, errors.New("no listener came along")
}

// State asks for what the old process knows.
func (h *Successor) RequestState() (json.RawMessage, error) {
	if err := h.link.write(Message{Request: "state"}); err != nil {
		return nil, err
	}
	m, err := h.link.read(stepTime)
	if err == nil && len(m.State) == 0 {
		err = errors.New("the old process told no state")
	}
	return m.State, err
}

// Ready tells the old process that this one serves, and waits until it has noted it.
func (h *Successor) AnnounceReady() error {
	if err := h.link.write(Message{Ready: true}); err != nil {
		return err
	}
	m, err := h.link.read(stepTime)
	if err == nil && !m.Ready {
		err = errors.New("the old process did not take the new one for ready")
	}
	return err
}

// Tell passes a message on.
func (h *Successor) Send(m Message) error { return h.link.write(m) }

// Hear takes the old process's messages until it has gone.
func (h *Successor) ReceiveAll(take func(Message)) {
	for {
		m, err := h.link.read(0)
		if err != nil {
			return
		}
		take(m)
	}
}

// Close ends it; the old process goes on alone if it is still there.
func (h *Successor) Close() { _ = h.link.conn.Close() }
