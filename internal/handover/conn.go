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

// maxLine bounds a message, in bytes: the state of a node with ten thousand servers has some megabytes.
const maxLine = 16 << 20

var errLineTooLong = errors.New("the message is too long")

// messageConn is one side of the connection between the processes.
type messageConn struct {
	conn   *net.UnixConn
	reader *bufio.Reader
}

// read returns the next message. A timeout of 0 means none.
func (c *messageConn) read(timeout time.Duration) (Message, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return Message{}, err
	}
	return c.next()
}

// next reads one line.
func (c *messageConn) next() (Message, error) {
	var m Message
	line, err := c.readLine()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(line, &m)
}

// readLine collects a line of at most maxLine bytes, or a little more.
func (c *messageConn) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := c.reader.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) >= maxLine {
			return nil, errLineTooLong
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

// withShortPath calls f with another path to the same file. A Unix socket's address holds about a hundred bytes, and $TMPDIR may be
// longer; the path over the folder's descriptor is short.
func withShortPath(path string, f func(string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}
