package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errPredecessorClosed = errors.New("the predecessor closed the connection")
	errNoState           = errors.New("the predecessor sent no state")
	errNotAccepted       = errors.New("the predecessor did not confirm that this process is ready")
	errNotTCP            = errors.New("the descriptor handed over is no TCP listener")
)

// Successor is the new process's side of a handover.
type Successor struct {
	Listener            *net.TCPListener // the one that clients connect to
	PredecessorIdentity Identity         // empty where the predecessor's version does not say
	peer                messageConn
}

// TakeOver asks the process that serves at a clients' address for its listener. The error is ErrNoPredecessor, ErrPredecessorGone
// or ErrOtherNode, or another one if there is something that cannot hand over.
func TakeOver(dir, listen string, own Identity) (*Successor, error) {
	conn, err := dialPredecessor(SocketPath(dir, listen))
	if err != nil {
		return nil, err
	}
	s := &Successor{peer: messageConn{conn: conn}}
	s.Listener, err = s.receiveListener(listen, own)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

func dialPredecessor(path string) (*net.UnixConn, error) {
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
	err = withShortPath(path, func(short string) error {
		conn, err = net.DialTimeout("unix", short, stepTimeout)
		return err
	})
	if errors.Is(err, unix.ECONNREFUSED) { // it was killed: whoever listens at the clients' address now is somebody else
		return nil, ErrPredecessorGone
	}
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// receiveListener exchanges the first messages. The listener comes along with the first byte of the predecessor's.
func (s *Successor) receiveListener(listen string, own Identity) (*net.TCPListener, error) {
	if err := s.peer.write(Message{Version: Version, Listen: listen, Identity: own}); err != nil {
		return nil, err
	}
	firstByte, file, fileErr, err := s.receiveDescriptor()
	if err != nil {
		return nil, err
	}
	if fileErr == nil {
		defer func() { _ = file.Close() }() // net.FileListener makes its own copy
	}
	s.peer.reader = bufio.NewReader(io.MultiReader(&singleByte{value: firstByte}, s.peer.conn))
	m, err := s.peer.read(stepTimeout)
	s.PredecessorIdentity = m.Identity
	switch {
	case err != nil:
		return nil, err
	case m.Identity.foreign(own):
		return nil, fmt.Errorf("%w: %q", ErrOtherNode, m.Identity.Name)
	case fileErr != nil:
		return nil, fileErr
	case m.Version != Version || m.Listen != listen:
		return nil, fmt.Errorf("the predecessor has version %d and the address %q", m.Version, m.Listen)
	}
	return tcpListener(file)
}

// receiveDescriptor reads the first byte with the descriptor that comes along. That there is none is fileErr, since the message may
// say why.
func (s *Successor) receiveDescriptor() (first byte, file *os.File, fileErr, err error) {
	if err := s.peer.conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return 0, nil, nil, err
	}
	data := make([]byte, 1)
	control := make([]byte, unix.CmsgSpace(descriptorBytes))
	n, controlLen, _, _, err := s.peer.conn.ReadMsgUnix(data, control)
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, nil, errPredecessorClosed
	}
	file, fileErr = parseDescriptor(control[:controlLen])
	return data[0], file, fileErr, nil
}

// tcpListener returns a listener on a copy of a descriptor.
func tcpListener(file *os.File) (*net.TCPListener, error) {
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errNotTCP, l.Close())
	}
	return tcp, nil
}

// singleByte is a reader of the byte that came with the descriptor.
type singleByte struct {
	value byte
	done  bool
}

// Read returns the byte once, and io.EOF after it.
func (s *singleByte) Read(p []byte) (int, error) {
	if s.done || len(p) == 0 {
		return 0, io.EOF
	}
	s.done = true
	p[0] = s.value
	return 1, nil
}

// RequestState returns the predecessor's state.
func (s *Successor) RequestState() (json.RawMessage, error) {
	if err := s.peer.write(Message{Request: requestState}); err != nil {
		return nil, err
	}
	m, err := s.peer.read(stepTimeout)
	if err != nil {
		return m.State, err
	}
	if len(m.State) == 0 {
		return m.State, errNoState
	}
	return m.State, nil
}

// AnnounceReady tells the predecessor that this process serves, and returns once it has noted that.
func (s *Successor) AnnounceReady() error {
	if err := s.peer.write(Message{Ready: true}); err != nil {
		return err
	}
	m, err := s.peer.read(stepTimeout)
	if err != nil {
		return err
	}
	if !m.Ready {
		return errNotAccepted
	}
	return nil
}

// Send sends a message to the predecessor.
func (s *Successor) Send(m Message) error { return s.peer.write(m) }

// ReceiveAll hands the predecessor's messages to a function until the predecessor has gone.
func (s *Successor) ReceiveAll(handle func(Message)) {
	for {
		m, err := s.peer.read(0)
		if err != nil {
			return
		}
		handle(m)
	}
}

// Close ends the handover. A predecessor that still runs goes on alone.
func (s *Successor) Close() { _ = s.peer.conn.Close() }
