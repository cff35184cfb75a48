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

// scope selects which tables of a file are parsed.
type scope int

const (
	allSections   scope = iota // a table that no Section declares is an error
	knownSections              // a table that no Section declares is ignored
)

// parser holds the state of parsing one file.
type parser struct {
	path        string
	text        string
	lines       configpos.Lines
	sections    map[string]Section
	metadata    toml.MetaData
	options     map[string]any // by section name
	diagnostics Diagnostics
	reported    []string // keys that already have a diagnostic
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
			p.report(name, "no such section; valid sections: %s", joinKeys(p.sections))
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

// readSection decodes one table key by key, so that an error in one value does not hide errors in the others.
func (p *parser) readSection(s Section, table toml.Primitive) {
	values := map[string]toml.Primitive{}
	err := p.metadata.PrimitiveDecode(table, &values)
	if err != nil || p.metadata.Type(s.Name) != "Hash" {
		p.report(s.Name, "must be a table")
		return
	}
	options := s.New()
	fields := taggedFields(options)
	previousCount := len(p.diagnostics)
	for name, value := range values {
		key := s.Name + "." + name
		field, known := fields[name]
		if !known {
			p.report(key, "no such key; valid keys: %s", joinKeys(fields))
			continue
		}
		if err := p.metadata.PrimitiveDecode(value, field.Addr().Interface()); err != nil {
			p.report(key, "%s", decodeMessage(err))
		}
	}
	if len(p.diagnostics) == previousCount { // Check expects every value to be decoded
		p.checkSection(s, options)
	}
	p.options[s.Name] = options
}

// checkSection runs the section's Check and reports its diagnostics under keys that begin with the section's name.
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

// reportUndecoded reports unknown keys at deeper levels, such as those of an array of tables. readSection reports only those at
// the top level of a table.
func (p *parser) reportUndecoded() {
	for _, path := range p.metadata.Undecoded() {
		key := path.String()
		if !p.isReported(key) {
			p.report(key, "no such key")
		}
	}
}

// isReported reports whether a key or one of its parent keys already has a diagnostic.
func (p *parser) isReported(key string) bool {
	return slices.ContainsFunc(p.reported, func(reported string) bool {
		return key == reported || strings.HasPrefix(key, reported+".")
	})
}

// taggedFields returns the fields of a struct by their toml tags. options is a pointer to the struct.
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

// joinKeys returns the keys of a map, sorted and separated by commas.
func joinKeys[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// Describe returns the options of a section as lines of the form "key = value", sorted by key. options is a non-nil result of
// File.Options.
func Describe(options any) []string {
	fields := taggedFields(options)
	lines := []string{}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		lines = append(lines, fmt.Sprintf("%s = %v", key, fields[key].Interface()))
	}
	return lines
}
