package operator

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Diagnostic describes one error in a configuration file.
type Diagnostic struct {
	File    string // empty if the error concerns no particular file
	Line    int    // counted from 1; 0 if unknown
	Key     string // in dotted form; empty if the error concerns no particular key
	Message string
}

// String formats the diagnostic as one line: "file:line: key: message".
func (d Diagnostic) String() string {
	out := d.File
	if d.Line > 0 {
		out += fmt.Sprintf(":%d", d.Line)
	}
	if out != "" {
		out += ": "
	}
	if d.Key != "" {
		out += d.Key + ": "
	}
	return out + d.Message
}

// Diagnostics holds all errors found in one file, in the order of their lines. It has at least one entry.
type Diagnostics []Diagnostic

// Error returns the first diagnostic and the number of the others.
func (d Diagnostics) Error() string {
	if len(d) == 1 {
		return d[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", d[0], len(d)-1)
}

func (d Diagnostics) sort() {
	sort.SliceStable(d, func(i, j int) bool { return d[i].Line < d[j].Line })
}

// syntaxDiagnostic converts a TOML syntax error to a diagnostic, with line and key if the decoder reports them.
func syntaxDiagnostic(path string, err error) Diagnostic {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return Diagnostic{File: path, Line: parseErr.Position.Line, Key: parseErr.LastKey, Message: parseErr.Message}
	}
	return Diagnostic{File: path, Message: err.Error()}
}

// decodeMessage returns the text of a decoder error without the position and the "toml: " prefix. The diagnostic already names
// the file, line and key.
func decodeMessage(err error) string {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return parseErr.Message
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}
