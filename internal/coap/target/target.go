// Package target converts request targets of HTTP (RFC 9112, 3.2.1) to the Uri-Path and Uri-Query options of CoAP and back, as RFC 7252,
// 6.4 and 6.5, describe it. A target that the options cannot express is refused and never changed. The package is pure.
package target

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
	"unicode/utf8"
)

// MaxOptionBytes is the longest value of a Uri-Path or Uri-Query option (RFC 7252, 5.10).
const MaxOptionBytes = 255

// The reasons for which a target, or a set of options, is refused.
var (
	ErrForm         = errors.New("the target is not a path with an optional query")
	ErrFragment     = errors.New("the target contains a fragment")
	ErrEscape       = errors.New("a percent sign is not followed by two hexadecimal digits")
	ErrDotSegment   = errors.New("a segment of the path is . or .., which a Uri-Path option must not be")
	ErrOptionLength = errors.New("a segment of the path or a part of the query exceeds 255 bytes")
	ErrNotUTF8      = errors.New("a segment of the path or a part of the query is not UTF-8")
)

// Options are the decoded values of the Uri-Path and Uri-Query options of a request, in their order. Empty values count.
type Options struct {
	Path    []string // nil for the target /
	Queries []string // nil for a target without a query
}

// Parse converts a target in origin form. The target is cut at its separators before anything is decoded, so an encoded separator stays
// part of its value. The error is one of those of this package.
func Parse(requestTarget []byte) (Options, error) {
	rest, isPath := bytes.CutPrefix(requestTarget, []byte("/"))
	switch {
	case !isPath:
		return Options{}, ErrForm
	case bytes.IndexByte(rest, '#') >= 0:
		return Options{}, ErrFragment
	}
	path, query, hasQuery := strings.Cut(string(rest), "?")
	var options Options
	var err error
	if path != "" {
		if options.Path, err = decodeParts(path, "/"); err != nil {
			return Options{}, err
		}
	}
	if hasQuery {
		if options.Queries, err = decodeParts(query, "&"); err != nil {
			return Options{}, err
		}
	}
	return options, options.Check()
}

// Check returns the reason why the options are not permitted in a request; nil if they are.
func (o Options) Check() error {
	for _, segment := range o.Path {
		if segment == "." || segment == ".." {
			return ErrDotSegment
		}
		if err := checkValue(segment); err != nil {
			return err
		}
	}
	for _, query := range o.Queries {
		if err := checkValue(query); err != nil {
			return err
		}
	}
	return nil
}

// checkValue checks the length and the encoding of one value.
func checkValue(value string) error {
	switch {
	case len(value) > MaxOptionBytes:
		return ErrOptionLength
	case !utf8.ValidString(value):
		return ErrNotUTF8
	}
	return nil
}

// String returns the target in origin form. Bytes that are separators, or not permitted in a target, are percent-encoded.
func (o Options) String() string {
	var out strings.Builder
	for _, segment := range o.Path {
		out.WriteByte('/')
		appendEncoded(&out, segment, isSegmentByte)
	}
	if len(o.Path) == 0 {
		out.WriteByte('/')
	}
	separator := byte('?')
	for _, query := range o.Queries {
		out.WriteByte(separator)
		appendEncoded(&out, query, isQueryByte)
		separator = '&'
	}
	return out.String()
}

// decodeParts cuts a text at its separators and decodes each part. Its only possible error is ErrEscape.
func decodeParts(text, separator string) ([]string, error) {
	parts := strings.Split(text, separator)
	for i, part := range parts {
		decoded, err := url.PathUnescape(part) // a plus sign stays one
		if err != nil {
			return nil, ErrEscape
		}
		parts[i] = decoded
	}
	return parts, nil
}

// appendEncoded appends a value with every byte percent-encoded that is not plain.
func appendEncoded(out *strings.Builder, value string, plain func(byte) bool) {
	const digits = "0123456789ABCDEF"
	for i := range len(value) {
		b := value[i]
		if plain(b) {
			out.WriteByte(b)
			continue
		}
		out.WriteByte('%')
		out.WriteByte(digits[b>>4])
		out.WriteByte(digits[b&15])
	}
}

// isSegmentByte reports whether a byte stands for itself in a segment: pchar of RFC 3986.
func isSegmentByte(b byte) bool {
	isAlphanumeric := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
	return isAlphanumeric || strings.IndexByte("-._~!$&'()*+,;=:@", b) >= 0
}

// isQueryByte reports whether a byte stands for itself in a part of a query. An ampersand would end the part.
func isQueryByte(b byte) bool {
	return b != '&' && (isSegmentByte(b) || b == '/' || b == '?')
}
