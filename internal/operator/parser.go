package operator

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"tackhub.example/tackhub/internal/configpos"
)

// scope is which tables of a file are read.
type scope int

const (
	allSections   scope = iota // any other table is an error
	knownSections              // any other table is ignored
)

// parser reads one file.
type parser struct {
	path        string
	text        string
	lines       configpos.Lines
	sections    map[string]Section
	metadata    toml.MetaData
	options     map[string]any // by section
	diagnostics Diagnostics
	reported    []string // keys that have a diagnostic
}

func newParser(path, text string, sections []Section) *parser {
	p := &parser{
		path:     path,
		text:     text,
		lines:    configpos.TOML(text),
		sections: map[string]Section{},
		options:  map[string]any{},
	}
	for _, s := range sections {
		p.sections[s.Name] = s
	}
	return p
}

func (p *parser) parse(scope scope) (*File, error) {
	tables := map[string]toml.Primitive{}
	metadata, err := toml.Decode(p.text, &tables)
	if err != nil {
		return nil, Diagnostics{syntaxDiagnostic(p.path, err)}
	}
	p.metadata = metadata
	for name, table := range tables {
		section, known := p.sections[name]
		switch {
		case known:
			p.readSection(section, table)
		case scope == allSections:
			p.report(name, "there is no such section; there are: %s", joinKeys(p.sections))
		}
	}
	if scope == allSections {
		p.reportUndecoded()
	}
	if len(p.diagnostics) > 0 {
		p.diagnostics.sort()
		return nil, p.diagnostics
	}
	return &File{Path: p.path, options: p.options}, nil
}

// report adds a diagnostic about a key.
func (p *parser) report(key, format string, args ...any) {
	p.reported = append(p.reported, key)
	p.diagnostics = append(p.diagnostics, Diagnostic{
		File:    p.path,
		Line:    p.lines.Line(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// readSection reads one table key by key, so that one wrong value does not hide the next.
func (p *parser) readSection(s Section, table toml.Primitive) {
	values := map[string]toml.Primitive{}
	err := p.metadata.PrimitiveDecode(table, &values)
	if err != nil || p.metadata.Type(s.Name) != "Hash" {
		p.report(s.Name, "a table is wanted")
		return
	}
	options := s.New()
	fields := taggedFields(options)
	before := len(p.diagnostics)
	for name, value := range values {
		key := s.Name + "." + name
		field, known := fields[name]
		if !known {
			p.report(key, "there is no such key; there are: %s", joinKeys(fields))
			continue
		}
		if err := p.metadata.PrimitiveDecode(value, field.Addr().Interface()); err != nil {
			p.report(key, "%s", decodeMessage(err))
		}
	}
	if len(p.diagnostics) == before { // a check may rely on every value
		p.checkSection(s, options)
	}
	p.options[s.Name] = options
}

// checkSection runs the section's own check.
func (p *parser) checkSection(s Section, options any) {
	if s.Check == nil {
		return
	}
	for _, d := range s.Check(options) {
		key := s.Name
		if d.Key != "" {
			key += "." + d.Key
		}
		p.report(key, "%s", d.Message)
	}
}

// reportUndecoded reports the unknown keys further down, such as those of an array of tables.
func (p *parser) reportUndecoded() {
	for _, path := range p.metadata.Undecoded() {
		key := path.String()
		if !p.isReported(key) {
			p.report(key, "there is no such key")
		}
	}
}

// isReported reports whether a key or one above it has a diagnostic.
func (p *parser) isReported(key string) bool {
	return slices.ContainsFunc(p.reported, func(reported string) bool {
		return key == reported || strings.HasPrefix(key, reported+".")
	})
}

// taggedFields are the fields of a struct by their toml tags. Options is a pointer to it.
func taggedFields(options any) map[string]reflect.Value {
	v := reflect.ValueOf(options).Elem()
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = v.Field(i)
		}
	}
	return fields
}

// joinKeys lists the keys of a map.
func joinKeys[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// Describe returns the values of a section's options as lines of key and value. Options is what File.Options returned.
func Describe(options any) []string {
	fields := taggedFields(options)
	lines := []string{}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		lines = append(lines, fmt.Sprintf("%s = %v", key, fields[key].Interface()))
	}
	return lines
}
