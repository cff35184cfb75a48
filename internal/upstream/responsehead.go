package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// If two parsers can interpret a response head differently, the end of the response is ambiguous, so the response is rejected.
// fasthttp parses a head only after it has passed the checks in this file, because fasthttp 1.79 accepts field names with spaces,
// folded lines, bare line feeds, a Content-Length together with a Transfer-Encoding, and responses that have neither and end
// when the connection closes.

const (
	versionPrefix = "HTTP/1." // start of every valid response

	// maxInterimResponses limits the 1xx responses before the final one, so that an attempt does not read forever if a server
	// sends nothing else.
	maxInterimResponses = 8

	// maxHeadLines is the largest accepted number of lines in a head. Servers send about ten.
	maxHeadLines = 64

	// versionAndStatusBytes is the length of the minor version and the status code in a status line, such as "1 200".
	versionAndStatusBytes = 5
)

var (
	errMalformedHead   = errors.New("malformed response head")
	errAmbiguousLength = errors.New("response length is missing or ambiguous")
	errTooManyInterim  = errors.New("too many 1xx responses")
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// skipInterimResponses skips 1xx responses and checks the head of the final response, which stays unread. 101 (Switching
// Protocols) counts as final.
func skipInterimResponses(r *bufio.Reader) error {
	for range maxInterimResponses {
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
	return errTooManyInterim
}

// peekHead waits for a complete head and returns it without consuming it. A head that does not fit into the reader's buffer is
// malformed.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		head, _ := r.Peek(r.Buffered())
		if i := bytes.Index(head, headEnd); i >= 0 {
			return head[:i+len(headEnd)], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) || !mayBeResponse(head) { // invalid input may never end, so do not wait for more
			return nil, errMalformedHead
		}
		if err != nil {
			return nil, err
		}
	}
}

// mayBeResponse reports whether a valid response can start with these bytes, which may be fewer than the version prefix.
func mayBeResponse(head []byte) bool {
	n := min(len(head), len(versionPrefix))
	return string(head[:n]) == versionPrefix[:n]
}

// checkHead returns the status code of a head after checking that the head defines the end of the response unambiguously.
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, headEnd), lineEnd)
	status, err = parseStatusLine(lines[0])
	if err != nil {
		return 0, err
	}
	if len(lines) > maxHeadLines {
		return 0, errMalformedHead
	}
	headFraming, err := parseFraming(lines[1:])
	if err != nil {
		return 0, err
	}
	if !headFraming.unambiguous(status) {
		return 0, errAmbiguousLength
	}
	return status, nil
}

// framing holds the header fields that define where a response ends.
type framing struct {
	contentLengths    int  // number of Content-Length fields
	transferEncodings int  // number of Transfer-Encoding fields
	connectionClose   bool // a Connection field has the value "close"
}

// parseFraming checks the syntax of header fields and collects those that define where the response ends.
func parseFraming(fields [][]byte) (framing, error) {
	var f framing
	for _, field := range fields {
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return framing{}, fmt.Errorf("%w: header field %.40q", errMalformedHead, field)
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			f.contentLengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			f.transferEncodings++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderConnection)):
			f.connectionClose = f.connectionClose || bytes.EqualFold(value, []byte("close"))
		}
	}
	return f, nil
}

// unambiguous reports whether exactly one field defines the end of the response. No field is needed if responses with this
// status have no body, or if the response ends when the connection closes.
func (f framing) unambiguous(status int) bool {
	bodiless := status < 200 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	switch f.contentLengths + f.transferEncodings {
	case 0:
		return bodiless || f.connectionClose
	case 1:
		return true
	}
	return false
}

// parseStatusLine returns the status code of a status line: HTTP/1.0 or HTTP/1.1, three digits and an optional reason phrase.
func parseStatusLine(line []byte) (int, error) {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || !hasStatusSyntax(rest) {
		return 0, fmt.Errorf("%w: status line %.40q", errMalformedHead, line)
	}
	status := 0
	for _, digit := range rest[2:versionAndStatusBytes] {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("%w: status line %.40q", errMalformedHead, line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status > 599 {
		return 0, fmt.Errorf("%w: status line %.40q", errMalformedHead, line)
	}
	return status, nil
}

// hasStatusSyntax reports whether a status line without its version prefix consists of a minor version (0 or 1), a space, three
// characters of any kind, and optionally a space and a reason phrase.
func hasStatusSyntax(rest []byte) bool {
	if len(rest) < versionAndStatusBytes {
		return false
	}
	knownVersion := rest[0] == '0' || rest[0] == '1'
	statusEnds := len(rest) == versionAndStatusBytes || rest[versionAndStatusBytes] == ' '
	return knownVersion && rest[1] == ' ' && statusEnds
}

// isToken reports whether a field name is a token as defined by RFC 9110, section 5.6.2.
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
