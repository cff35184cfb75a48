package operator

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Diagnostic is one thing that is wrong with a file.
type Diagnostic struct {
	File    string // empty: none in particular
	Line    int    // from 1; 0: not known
	Key     string // in dotted form; empty: none in particular
	Message string
}

// String is the diagnostic as one line.
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

// Diagnostics are all that is wrong with one file, by line. There is at least one.
type Diagnostics []Diagnostic

// Error is the first diagnostic and the number of the others.
func (d Diagnostics) Error() string {
	if len(d) == 1 {
		return d[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", d[0], len(d)-1)
}

func (d Diagnostics) sort() {
	sort.SliceStable(d, func(i, j int) bool { return d[i].Line < d[j].Line })
}

// syntaxDiagnostic says why a text is no TOML.
func syntaxDiagnostic(path string, err error) Diagnostic {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return Diagnostic{File: path, Line: parseErr.Position.Line, Key: parseErr.LastKey, Message: parseErr.Message}
	}
	return Diagnostic{File: path, Message: err.Error()}
}

// decodeMessage is an error of the decoder without what the diagnostic says anyway.
func decodeMessage(err error) string {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return parseErr.Message
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}
