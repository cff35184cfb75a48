package inventory

import (
	"fmt"
	"sort"
)

// MaxDiagnostics is the number of diagnostics that are kept for one file. A file in an unexpected format can have an error in
// every row.
const MaxDiagnostics = 20

// Diagnostic is an error in a file.
type Diagnostic struct {
	File    string
	Line    int // from 1; 0: unknown
	Column  int
	Row     int // number of the server's row, from 1; 0: no particular row
	Message string
}

// String returns the diagnostic as one line.
func (d Diagnostic) String() string {
	out := d.File
	if d.Line > 0 {
		out += fmt.Sprintf(":%d:%d", d.Line, d.Column)
	}
	if d.Row > 0 {
		out += fmt.Sprintf(": row %d", d.Row)
	}
	return out + ": " + d.Message
}

// Diagnostics holds the errors in a file.
type Diagnostics struct {
	First []Diagnostic // at most MaxDiagnostics, sorted by line
	Total int          // number of errors, including those that were not kept
}

// Error returns the first diagnostic and the number of the others.
func (d *Diagnostics) Error() string {
	if d.Total == 1 {
		return d.First[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", d.First[0], d.Total-1)
}

func (d *Diagnostics) add(diagnostic Diagnostic) {
	d.Total++
	if len(d.First) < MaxDiagnostics {
		d.First = append(d.First, diagnostic)
	}
}

func (d *Diagnostics) sort() {
	sort.SliceStable(d.First, func(i, j int) bool { return d.First[i].Line < d.First[j].Line })
}

// singleDiagnostic returns the diagnostics of a file with one error that concerns the whole file.
func singleDiagnostic(file, message string) *Diagnostics {
	return &Diagnostics{First: []Diagnostic{{File: file, Message: message}}, Total: 1}
}

// position is a position in a file. The zero value is no particular position.
type position struct{ line, column, row int }
