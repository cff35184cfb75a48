package handover

import (
	"encoding/json"
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// descriptorBytes is the size of a file descriptor in a control message.
const descriptorBytes = 4

var (
	errNoDescriptor = errors.New("the predecessor sent no listener")
	errOtherUser    = errors.New("a process of another user requested the listener")
)

// parseDescriptor returns the first descriptor of a control message, and closes any others.
func parseDescriptor(control []byte) (*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(control)
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
	return nil, errNoDescriptor
}

// sendListener sends a message with a listener's descriptor. It does not use TCPListener.File, which would switch the socket to
// blocking mode. That would affect both processes, since their descriptors refer to the same socket.
func sendListener(conn *net.UnixConn, listener *net.TCPListener, m Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	rawListener, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	err = rawListener.Control(func(fd uintptr) {
		_, _, writeErr = conn.WriteMsgUnix(append(raw, '\n'), unix.UnixRights(int(fd)), nil)
	})
	return errors.Join(err, writeErr)
}

// checkSameUser returns an error if the connected process belongs to another user, who must not receive the listener.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *unix.Ucred
	var credentialsErr error
	err = raw.Control(func(fd uintptr) {
		credentials, credentialsErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return err
	}
	if credentialsErr == nil && int(credentials.Uid) != os.Geteuid() {
		return errOtherUser
	}
	return credentialsErr
}
