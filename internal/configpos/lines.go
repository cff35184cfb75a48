// Package configpos finds the line of each key in a configuration file, so that a diagnostic can name the line. It has no side
// effects. In a file with syntax errors it finds as many keys as it can.
package configpos

import (
	"bytes"
	"strings"
)

// Lines maps each key to the line on which it begins, counted from 1. Keys are in dotted form, with [n] for the n-th entry of a
// list, counted from 0.
type Lines map[string]int

// Line returns the line of a key. If the key is unknown, it returns the line of the nearest known parent key, or 0 if there is
// none.
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

// LineAt returns the line that contains a byte offset. An offset outside the text gives the first or last line.
func LineAt(raw []byte, offset int64) int {
	offset = max(0, min(offset, int64(len(raw))))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// joinKey appends a key to a dotted path.
func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
