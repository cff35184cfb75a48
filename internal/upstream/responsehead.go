package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// A response head that two parsers could read in two ways does not say for certain where the response ends, so such a
// response is invalid. fasthttp parses the head only once it has passed the checks here: version 1.79 accepts names with
// spaces, folded lines, bare line feeds, a length beside an encoding, and responses that only the connection's end delimits.

const (
	versionPrefix = "HTTP/1." // with which every response begins

	// maxInterim is how many 1xx responses may precede the final one: a server that sends only such must not keep an attempt
	// reading.
	maxInterim = 8

	// maxHeadLines bounds a head's lines; servers send about ten.
	maxHeadLines = 64

	// statusLineBytes is the length of a status line up to its status, counted from the minor version: "1 200".
	statusLineBytes = 5
)

var (
	errHead    = errors.New("malformed response head")
	errFraming = errors.New("response length is missing or ambiguous")
	errInterim = errors.New("too many 1xx responses")
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// skipInterim skips 1xx responses and checks the head of the final one, which stays unread.
func skipInterim(r *bufio.Reader) error {
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

// peekHead waits for a complete head and leaves it unread. A head that does not fit the buffer is malformed.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		head, _ := r.Peek(r.Buffered())
		if i := bytes.Index(head, headEnd); i >= 0 {
			return head[:i+len(headEnd)], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) || !mayBeResponse(head) { // noise may never end, so it is not waited for
			return nil, errHead
		}
		if err != nil {
			return nil, err
		}
	}
}

// mayBeResponse reports whether a response can begin with these bytes.
func mayBeResponse(head []byte) bool {
	n := min(len(head), len(versionPrefix))
	return string(head[:n]) == versionPrefix[:n]
}

// checkHead parses the status and checks that the head says in exactly one way where the response ends.
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, headEnd), lineEnd)
	status, err = parseStatusLine(lines[0])
	if err != nil {
		return 0, err
	}
	if len(lines) > maxHeadLines {
		return 0, errHead
	}
	f, err := parseFraming(lines[1:])
	if err != nil {
		return 0, err
	}
	if !f.unambiguous(status) {
		return 0, errFraming
	}
	return status, nil
}

// framing is what a head says of where its response ends.
type framing struct {
	lengths   int // Content-Length fields
	encodings int // Transfer-Encoding fields
	closes    bool
}

func parseFraming(fields [][]byte) (framing, error) {
	var f framing
	for _, field := range fields {
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return framing{}, fmt.Errorf("%w: field %.40q", errHead, field)
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			f.lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			f.encodings++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderConnection)):
			f.closes = f.closes || bytes.EqualFold(value, []byte("close"))
		}
	}
	return f, nil
}

// unambiguous reports whether there is exactly one delimiter, or none where the status or the connection's end is the
// delimiter.
func (f framing) unambiguous(status int) bool {
	bodiless := status < 200 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	switch f.lengths + f.encodings {
	case 0:
		return bodiless || f.closes
	case 1:
		return true
	}
	return false
}

// parseStatusLine parses a status line: HTTP/1.0 or HTTP/1.1, three digits and an optional reason.
func parseStatusLine(line []byte) (int, error) {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || !hasStatusForm(rest) {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	status := 0
	for _, digit := range rest[2:statusLineBytes] {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("%w: %.40q", errHead, line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status > 599 {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	return status, nil
}

// hasStatusForm reports whether the rest of a status line is a minor version, a space, three characters, and nothing or a
// space and more.
func hasStatusForm(rest []byte) bool {
	if len(rest) < statusLineBytes {
		return false
	}
	knownVersion := rest[0] == '0' || rest[0] == '1'
	statusEnds := len(rest) == statusLineBytes || rest[statusLineBytes] == ' '
	return knownVersion && rest[1] == ' ' && statusEnds
}

// isToken reports whether a field name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
