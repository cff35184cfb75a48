// Package operator reads the operator file: one TOML section for each subsystem, declared and checked by the package that
// owns it. A section that is not there is off. A file is taken whole or not at all, and every fault of it is told with
// file, line and key.
package operator

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"

	"tackhub.example/tackhub/internal/configpos"
)

// maxFile bounds the file: it holds some hundred lines, and a node has a few megabytes.
const maxFile = 1 << 20

// Section is the part of the file that belongs to one subsystem.
type Section struct {
	Name    string // of the table
	Summary string // one line
	// New gives a pointer to the options with their defaults. Keys are the fields' toml tags.
	New func() any
	// Check tells what cannot be, by keys within the section. It is given what New gave, filled in.
	Check func(options any) []Diagnostic
}

// Fault is one thing that is wrong. Line is 0 where it is not known.
type Diagnostic struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String is the fault as one line.
func (f Diagnostic) String() string {
	out := f.File
	if f.Line > 0 {
		out += fmt.Sprintf(":%d", f.Line)
	}
	if out != "" {
		out += ": "
	}
	if f.Key != "" {
		out += f.Key + ": "
	}
	return out + f.Message
}

// Faults are all faults of one file, by line.
type Diagnostics []Diagnostic

// Error tells the first fault, and how many there are.
func (f Diagnostics) Error() string {
	if len(f) == 1 {
		return f[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", f[0], len(f)-1)
}

// File is an operator file that was taken.
type File struct {
	Path     string
	sections map[string]any
}

// Options are a section's; nil where the file does not have it, so that the subsystem is off. A nil file has none.
func (f *File) Options(section string) any {
	if f == nil {
		return nil
	}
	return f.sections[section]
}

// Load reads a file. The error is a Faults where the file could be read but not taken.
func Load(path string, sections []Section) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	if info.Size() > maxFile {
		return nil, Diagnostics{{File: path, Message: fmt.Sprintf("%d bytes are too many, %d at most", info.Size(), maxFile)}}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, string(raw), sections)
}

// ParseSection reads one section of a file and passes over the others, for commands that need no more.
func ParseSection(path, text string, s Section) (*File, error) {
	return parse(path, text, []Section{s}, true)
}

// Parse reads a file's text.
func Parse(path, text string, sections []Section) (*File, error) {
	return parse(path, text, sections, false)
}

func parse(path, text string, sections []Section, some bool) (*File, error) {
	p := &parser{path: path, lines: configpos.TOML(text), byName: map[string]Section{}, out: map[string]any{}}
	for _, s := range sections {
		p.byName[s.Name] = s
	}
	tables := map[string]toml.Primitive{}
	md, err := toml.Decode(text, &tables)
	if err != nil {
		return nil, Diagnostics{p.unreadable(err)}
	}
	p.md = md
	for name, table := range tables {
		if _, ours := p.byName[name]; ours || !some {
			p.section(name, table)
		}
	}
	if !some {
		p.leftOver()
	}
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
		return nil, p.faults
	}
	return &File{Path: path, sections: p.out}, nil
}

type parser struct {
	path   string
	lines  configpos.Lines
	md     toml.MetaData
	byName map[string]Section
	out    map[string]any
	faults Diagnostics
	named  []string // keys that have a fault already
}

func (p *parser) fault(key, format string, args ...any) {
	p.named = append(p.named, key)
	p.faults = append(p.faults, Diagnostic{p.path, p.lines.Line(key), key, fmt.Sprintf(format, args...)})
}

// unreadable is the fault of a text that is no TOML.
func (p *parser) unreadable(err error) Diagnostic {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return Diagnostic{p.path, pe.Position.Line, pe.LastKey, pe.Message}
	}
	return Diagnostic{File: p.path, Message: err.Error()}
}

// section reads one table, key by key, so that one that is wrong does not hide the next.
func (p *parser) section(name string, table toml.Primitive) {
	s, ok := p.byName[name]
	if !ok {
		p.fault(name, "there is no such section; there are: %s", strings.Join(p.names(), ", "))
		return
	}
	keys := map[string]toml.Primitive{}
	if err := p.md.PrimitiveDecode(table, &keys); err != nil || p.md.Type(name) != "Hash" {
		p.fault(name, "a table is wanted")
		return
	}
	options := s.New()
	fields := fieldsOf(options)
	before := len(p.faults)
	for key, value := range keys {
		full := name + "." + key
		field, ok := fields[key]
		if !ok {
			p.fault(full, "there is no such key; there are: %s", strings.Join(sorted(fields), ", "))
			continue
		}
		if err := p.md.PrimitiveDecode(value, field.Addr().Interface()); err != nil {
			p.fault(full, "%s", reason(err))
		}
	}
	if len(p.faults) == before && s.Check != nil { // checks may lean on the single values
		for _, f := range s.Check(options) {
			key := name
			if f.Key != "" {
				key += "." + f.Key
			}
			p.fault(key, "%s", f.Message)
		}
	}
	p.out[name] = options
}

// leftOver finds unknown keys deeper down.
func (p *parser) leftOver() {
	for _, key := range p.md.Undecoded() {
		full := key.String()
		covered := false
		for _, k := range p.named {
			covered = covered || full == k || strings.HasPrefix(full, k+".")
		}
		if !covered {
			p.fault(full, "there is no such key")
		}
	}
}

func (p *parser) names() []string {
	out := []string{}
	for n := range p.byName {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// reason is an error of the decoder without what the fault says anyway.
func reason(err error) string {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return pe.Message
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

// fieldsOf are the fields of a struct by their tags.
func fieldsOf(options any) map[string]reflect.Value {
	v := reflect.ValueOf(options).Elem()
	out := map[string]reflect.Value{}
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" {
			out[tag] = v.Field(i)
		}
	}
	return out
}

func sorted(fields map[string]reflect.Value) []string {
	out := []string{}
	for k := range fields {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Describe writes a section's effective values as lines of key and value.
func Describe(options any) []string {
	fields := fieldsOf(options)
	out := []string{}
	for _, key := range sorted(fields) {
		out = append(out, fmt.Sprintf("%s = %v", key, fields[key].Interface()))
	}
	return out
}
