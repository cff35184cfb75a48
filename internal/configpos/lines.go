// Package configpos finds the lines on which keys stand in configuration files, so that a diagnostic can name its line. It is
// pure. Of a file that its own parser rejects it finds what it can.
package configpos

import (
	"bytes"
	"strings"
)

// Lines are the lines, counted from 1, on which keys begin. Keys are in dotted form, with [n] for the n-th entry of a list,
// counted from 0.
type Lines map[string]int

// Line is the line of a key, or of the nearest key above it that is known; 0 if none is.
func (l Lines) Line(key string) int {
	for {
		if line, known := l[key]; known {
			return line
		}
		end := max(strings.LastIndexByte(key, '.'), strings.LastIndexByte(key, '['))
		if end <= 0 {
			return 0
		}
		key = key[:end]
	}
}

// LineAt is the line of a byte offset. An offset outside the text gives the first or last line.
func LineAt(raw []byte, offset int64) int {
	offset = max(0, min(offset, int64(len(raw))))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// join is the dotted form of a key below a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
