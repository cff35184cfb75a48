package proxy

import (
	"encoding/hex"
	"strings"
)

// escapeDigits is the number of hexadecimal digits of a percent-encoded byte.
const escapeDigits = 2

// pathReading is a way in which servers read a path before they resolve its dot segments (RFC 3986, 5.2.4).
type pathReading struct {
	decodeFirst  bool // encoded slashes separate segments
	mergeSlashes bool // empty segments are dropped
}

// pathReadings are the readings that are in use.
var pathReadings = []pathReading{
	{},
	{mergeSlashes: true},
	{decodeFirst: true},
	{decodeFirst: true, mergeSlashes: true},
}

// pathStaysInClass reports whether the first segment of a request target's path is the class in every reading of the path. The node judges
// a request by its class, and a server that resolves dot segments must not read another one. The first segment as it was written has been
// compared before.
func pathStaysInClass(requestTarget []byte, class string) bool {
	path, _, _ := strings.Cut(string(requestTarget), "?")
	if strings.Contains(path, "#") { // not permitted in a request target; servers differ in where they end the path
		return false
	}
	if !strings.Contains(path, "..") && !strings.Contains(path, "%") {
		return true
	}
	for _, reading := range pathReadings {
		if reading.firstSegment(path) != class {
			return false
		}
	}
	return true
}

// firstSegment returns the first segment of a path after its dot segments have been resolved.
func (r pathReading) firstSegment(path string) string {
	if r.decodeFirst {
		path = decodeLeniently(path)
	}
	var resolved []string
	for _, segment := range strings.Split(strings.TrimPrefix(path, "/"), "/") {
		if !r.decodeFirst {
			segment = decodeLeniently(segment)
		}
		switch {
		case segment == "..":
			resolved = resolved[:max(0, len(resolved)-1)]
		case segment == "." || segment == "" && r.mergeSlashes:
		default:
			resolved = append(resolved, segment)
		}
	}
	if len(resolved) == 0 {
		return ""
	}
	return resolved[0]
}

// decodeLeniently replaces each percent-encoded byte of a text. Malformed escapes stay as they are, as servers that accept them leave them.
func decodeLeniently(text string) string {
	var decoded strings.Builder
	for {
		before, after, found := strings.Cut(text, "%")
		decoded.WriteString(before)
		if !found {
			return decoded.String()
		}
		value, err := hex.DecodeString(after[:min(len(after), escapeDigits)])
		if err != nil || len(value) == 0 {
			decoded.WriteByte('%')
			text = after
			continue
		}
		decoded.Write(value)
		text = after[escapeDigits:]
	}
}
