// Package operator reads the operator file, a TOML file with one table for each subsystem. The package of the subsystem
// declares the table and checks its values. A subsystem is off if its table is missing. A file with any error is rejected as a
// whole, and every error is reported with file, line and key.
package operator

import (
	"fmt"
	"os"
)

// maxFileBytes limits the size of the operator file. Real files have a few hundred lines, and a node may have little memory.
const maxFileBytes = 1 << 20

// Section declares the table of one subsystem.
type Section struct {
	Name    string // name of the table
	Summary string // one-line description of the subsystem

	// New returns a pointer to an options struct that holds the defaults. The toml tags of its fields are the keys of the table.
	New func() any

	// Check returns the errors in options that New created and the parser filled in. Their keys are relative to the table.
	// Check is called only if every value was decoded. A nil Check accepts all values.
	Check func(options any) []Diagnostic
}

// File holds the options of an accepted operator file.
type File struct {
	Path    string
	options map[string]any // by section name
}

// Options returns the options of a section, or nil if the file does not have the section and its subsystem is therefore off.
// A nil File has no sections.
func (f *File) Options(section string) any {
	if f == nil {
		return nil
	}
	return f.options[section]
}

// Load reads and parses the file at path. The error is a Diagnostics if the file exists but is rejected.
func Load(path string, sections []Section) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, Diagnostics{{File: path, Message: fmt.Sprintf("file size is %d bytes, want at most %d", info.Size(), maxFileBytes)}}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, string(raw), sections)
}

// Parse parses the text of an operator file. The error is a Diagnostics. path is used only in the diagnostics and in File.Path.
func Parse(path, text string, sections []Section) (*File, error) {
	return newParser(path, text, sections).parse(allSections)
}

// ParseSection parses one section of an operator file and ignores all others. It is meant for commands that need only this
// section. The error is a Diagnostics.
func ParseSection(path, text string, s Section) (*File, error) {
	return newParser(path, text, []Section{s}).parse(knownSections)
}
