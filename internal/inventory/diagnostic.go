package inventory

import (
	"fmt"
	"sort"
)

// MaxDiagnostics is how many diagnostics of one file are kept: a file of another kind has one in every row.
const MaxDiagnostics = 20

// Diagnostic is one thing that is wrong with a file.
type Diagnostic struct {
	File    string
	Line    int // from 1; 0: not known
	Column  int
	Row     int // servers counted from 1; 0: none in particular
	Message string
}

// String is the diagnostic as one line.
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

// Diagnostics are all that is wrong with a file.
type Diagnostics struct {
	First []Diagnostic // MaxDiagnostics at most, by line
	Total int
}

// Error is the first diagnostic and the number of the others.
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

// singleDiagnostic says the one thing that is wrong with a file as a whole.
func singleDiagnostic(file, message string) *Diagnostics {
	return &Diagnostics{First: []Diagnostic{{File: file, Message: message}}, Total: 1}
}

// position is where something stands in a file. Its zero value is none in particular.
type position struct{ line, column, row int }
