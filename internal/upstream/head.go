package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// A head that two readers could take in two ways says nothing sure of where its answer ends, so such an answer is
// spoilt. fasthttp reads the head once it has passed; measured with 1.79, it takes names with spaces, folded lines,
// bare line feeds, a length beside an encoding and answers that only the connection's end delimits.

const (
	version = "HTTP/1." // with which every answer begins

	// maxInterim is how many 1xx answers may come ahead of the final one: a server that sends only such must not
	// keep an attempt reading.
	maxInterim = 8

	// maxHeadFields bounds a head's lines; servers send about ten.
	maxHeadFields = 64
)

var (
	errHead    = errors.New("unreadable head")
	errFraming = errors.New("the answer's length is not told, or in two ways")
	errInterim = errors.New("too many 1xx answers")
)

// finalHead passes the 1xx answers by and checks the head of the final one, which stays to be read.
func finalHead(r *bufio.Reader) error {
	for range maxInterim {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		status, err := checkHead(head)
		if err != nil {
			return err
		}
		if status >= 200 || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
		if _, err := r.Discard(len(head)); err != nil {
			return err
		}
	}
	return errInterim
}

// peekHead waits for a whole head and leaves it unread. One that does not fit the buffer is none.
func peekHead(r *bufio.Reader) ([]byte, error) {
	end := []byte("\r\n\r\n")
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		head, _ := r.Peek(r.Buffered())
		if i := bytes.Index(head, end); i >= 0 {
			return head[:i+len(end)], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) || !mayBegin(head) { // noise may stay without an end: not to be waited for
			return nil, errHead
		}
		if err != nil {
			return nil, err
		}
	}
}

// mayBegin tells whether an answer can begin like this.
func mayBegin(head []byte) bool {
	n := min(len(head), len(version))
	return string(head[:n]) == version[:n]
}

// checkHead reads the status and makes sure that the answer's end is told in one way.
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n"))
	if status, err = statusOf(lines[0]); err != nil {
		return 0, err
	}
	if len(lines) > maxHeadFields {
		return 0, errHead
	}
	lengths, encodings, closes := 0, 0, false
	for _, line := range lines[1:] {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return 0, fmt.Errorf("%w: field %.40q", errHead, line)
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encodings++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderConnection)):
			closes = closes || bytes.EqualFold(value, []byte("close"))
		}
	}
	bodiless := status < 200 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	if told := lengths + encodings; told > 1 || told == 0 && !bodiless && !closes {
		return 0, errFraming
	}
	return status, nil
}

// statusOf reads a status line: HTTP/1.x, three digits, and a reason, which may be missing.
func statusOf(line []byte) (int, error) {
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < 5 || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || len(rest) > 5 && rest[5] != ' ' {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	status := 0
	for _, c := range rest[2:5] {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: %.40q", errHead, line)
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 || status > 599 {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	return status, nil
}

// isToken tells whether a field's name is one (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
