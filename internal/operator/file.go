// Package operator reads the operator file: one TOML table for each subsystem, declared and checked by the package that owns
// it. A subsystem whose table is missing is off. A file is accepted as a whole or not at all, and everything that is wrong
// with it is reported with file, line and key.
package operator

import (
	"fmt"
	"os"
)

// maxFileBytes bounds the file. It has some hundred lines, and a node may have little memory.
const maxFileBytes = 1 << 20

// Section is the table of one subsystem.
type Section struct {
	Name    string // of the table
	Summary string // one line

	// New returns a pointer to the options, a struct, with their defaults. The keys are its fields' toml tags.
	New func() any

	// Check reports what is wrong with options that New returned and that were filled in, by keys within the table. It is
	// called only if every value could be read; nil: there is nothing to check.
	Check func(options any) []Diagnostic
}

// File is an operator file that was accepted.
type File struct {
	Path    string
	options map[string]any // by section
}

// Options are the options of a section; nil if the file does not have it, so that the subsystem is off. A nil file has none.
func (f *File) Options(section string) any {
	if f == nil {
		return nil
	}
	return f.options[section]
}

// Load reads a file. The error is a Diagnostics if the file could be read but is not accepted.
func Load(path string, sections []Section) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, Diagnostics{{File: path, Message: fmt.Sprintf("%d bytes are too many, %d at most", info.Size(), maxFileBytes)}}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, string(raw), sections)
}

// Parse reads a file's text. The error is a Diagnostics.
func Parse(path, text string, sections []Section) (*File, error) {
	return newParser(path, text, sections).parse(allSections)
}

// ParseSection reads one section of a file's text and ignores the others, for commands that need no more. The error is a
// Diagnostics.
func ParseSection(path, text string, s Section) (*File, error) {
	return newParser(path, text, []Section{s}).parse(knownSections)
}
