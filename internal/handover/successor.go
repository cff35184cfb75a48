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
	errReadyNotConfirmed = errors.New("the predecessor did not confirm that this process is ready")
	errNotTCP            = errors.New("the descriptor from the predecessor is not a TCP listener")
)

// Successor is the new process's side of a handover.
type Successor struct {
	Listener            *net.TCPListener // the clients' listener
	PredecessorIdentity Identity         // empty if the predecessor's version sends none
	peer                messageConn
}

// TakeOver requests the listener of the process that serves at a clients' address. It returns ErrNoPredecessor, ErrPredecessorGone,
// an error that wraps ErrOtherNode, or another error if the handover fails.
func TakeOver(dir, clientAddress string, own Identity) (*Successor, error) {
	conn, err := dialPredecessor(SocketPath(dir, clientAddress))
	if err != nil {
		return nil, err
	}
	s := &Successor{peer: messageConn{conn: conn}}
	s.Listener, err = s.receiveListener(clientAddress, own)
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
		return nil, fmt.Errorf("%s is not a socket", filepath.Base(path))
	}
	var conn net.Conn
	err = withShortPath(path, func(short string) error {
		conn, err = net.DialTimeout("unix", short, stepTimeout)
		return err
	})
	if errors.Is(err, unix.ECONNREFUSED) { // the predecessor was killed; any listener at the clients' address belongs to another program
		return nil, ErrPredecessorGone
	}
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// receiveListener exchanges the first messages. The listener's descriptor arrives with the first byte of the predecessor's message.
func (s *Successor) receiveListener(clientAddress string, own Identity) (*net.TCPListener, error) {
	if err := s.peer.write(Message{Version: Version, Listen: clientAddress, Identity: own}); err != nil {
		return nil, err
	}
	firstByte, file, fileErr, err := s.receiveDescriptor()
	if err != nil {
		return nil, err
	}
	if fileErr == nil {
		defer func() { _ = file.Close() }() // net.FileListener makes its own copy
	}
	s.peer.reader = bufio.NewReader(io.MultiReader(&singleByteReader{value: firstByte}, s.peer.conn))
	m, err := s.peer.read(stepTimeout)
	s.PredecessorIdentity = m.Identity
	switch {
	case err != nil:
		return nil, err
	case m.Identity.belongsToOtherNode(own):
		return nil, fmt.Errorf("%w: %q", ErrOtherNode, m.Identity.Name)
	case fileErr != nil:
		return nil, fileErr
	case m.Version != Version || m.Listen != clientAddress:
		return nil, fmt.Errorf("the predecessor has version %d and address %q, want version %d and address %q",
			m.Version, m.Listen, Version, clientAddress)
	}
	return tcpListener(file)
}

// receiveDescriptor reads the first byte and the descriptor that arrives with it. A missing descriptor is reported as fileErr, not
// as err, since the message that follows may contain the reason.
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

// tcpListener returns a TCP listener on a duplicate of the file's descriptor.
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

// singleByteReader is a reader that returns the byte that arrived with the descriptor.
type singleByteReader struct {
	value byte
	done  bool
}

// Read returns the byte once, and io.EOF after it.
func (s *singleByteReader) Read(p []byte) (int, error) {
	if s.done || len(p) == 0 {
		return 0, io.EOF
	}
	s.done = true
	p[0] = s.value
	return 1, nil
}

// RequestState requests the predecessor's state and returns it.
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

// AnnounceReady notifies the predecessor that this process serves, and waits for the confirmation.
func (s *Successor) AnnounceReady() error {
	if err := s.peer.write(Message{Ready: true}); err != nil {
		return err
	}
	m, err := s.peer.read(stepTimeout)
	if err != nil {
		return err
	}
	if !m.Ready {
		return errReadyNotConfirmed
	}
	return nil
}

// Send sends a message to the predecessor.
func (s *Successor) Send(m Message) error { return s.peer.write(m) }

// ReceiveAll passes the predecessor's messages to a function until the connection ends.
func (s *Successor) ReceiveAll(handle func(Message)) {
	for {
		m, err := s.peer.read(0)
		if err != nil {
			return
		}
		handle(m)
	}
}

// Close closes the connection to the predecessor, which then serves as the node's only process if it still runs.
func (s *Successor) Close() { _ = s.peer.conn.Close() }
