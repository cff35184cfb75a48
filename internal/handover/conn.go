package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// maxMessageBytes limits the encoded size of a message. The state of a node with ten thousand servers takes a few megabytes.
const maxMessageBytes = 16 << 20

var errMessageTooLong = errors.New("message is longer than 16 MiB")

// messageConn reads and writes messages on the connection between a predecessor and its successor.
type messageConn struct {
	conn   *net.UnixConn
	reader *bufio.Reader
}

// read returns the next message. A timeout of 0 means no timeout.
func (c *messageConn) read(timeout time.Duration) (Message, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return Message{}, err
	}
	return c.readMessage()
}

// readMessage reads and decodes one line.
func (c *messageConn) readMessage() (Message, error) {
	var m Message
	line, err := c.readLine()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(line, &m)
}

// readLine reads a line. The limit is checked only when the reader's buffer is full, so a line may be longer than maxMessageBytes
// by up to the size of that buffer.
func (c *messageConn) readLine() ([]byte, error) {
	var line []byte
	for {
		chunk, err := c.reader.ReadSlice('\n')
		line = append(line, chunk...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) >= maxMessageBytes {
			return nil, errMessageTooLong
		}
	}
}

func (c *messageConn) write(m Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err = c.conn.Write(append(raw, '\n'))
	return err
}

// withShortPath calls f with a short alias of a path: the file's name below /proc/self/fd/N, where N is an open descriptor of the
// file's directory. The address of a Unix socket is limited to about a hundred bytes, and $TMPDIR may be longer.
func withShortPath(path string, f func(string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}
