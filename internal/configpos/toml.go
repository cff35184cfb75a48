package configpos

import (
	"strconv"
	"strings"
)

// TOML returns the lines of the keys in a TOML text. It scans line by line and handles only the syntax that is needed to
// distinguish keys from values: tables, quotes, brackets and comments. It does not find the keys of inline tables.
func TOML(text string) Lines {
	s := &tomlScanner{lines: Lines{}, entryCounts: map[string]int{}}
	for i, line := range strings.Split(text, "\n") {
		s.scanLine(i+1, line)
	}
	return s.lines
}

// tomlScanner holds the state of the scan between two lines.
type tomlScanner struct {
	lines        Lines
	table        string         // dotted name of the current table
	entryCounts  map[string]int // number of entries so far, by array of tables
	closingQuote string         // closing quote of the multi-line string that continues on the next line; empty if none
	openBrackets int            // unclosed brackets of the value that continues on the next line; 0 if none
}

// scanLine records the key or table that begins on a line. Lines that continue a value are skipped.
func (s *tomlScanner) scanLine(number int, line string) {
	if s.closingQuote != "" {
		_, rest, closed := strings.Cut(line, s.closingQuote)
		if closed {
			s.closingQuote = ""
			s.skipValue(rest)
		}
		return
	}
	if s.openBrackets > 0 {
		s.skipValue(line)
		return
	}
	line = strings.TrimSpace(line)
	switch {
	case line == "" || line[0] == '#':
	case strings.HasPrefix(line, "[["):
		name, _, _ := strings.Cut(line[2:], "]]")
		s.beginArrayEntry(number, unquoteKey(name))
	case line[0] == '[':
		name, _, _ := strings.Cut(line[1:], "]")
		s.table = unquoteKey(name)
		s.lines[s.table] = number
	default:
		if key, value, ok := cutKey(line); ok {
			s.lines[joinKey(s.table, unquoteKey(key))] = number
			s.skipValue(value)
		}
	}
}

// beginArrayEntry makes the next entry of an array of tables the current table. The array itself begins at its first entry.
func (s *tomlScanner) beginArrayEntry(number int, array string) {
	index := s.entryCounts[array]
	s.entryCounts[array]++
	if index == 0 {
		s.lines[array] = number
	}
	s.table = array + "[" + strconv.Itoa(index) + "]"
	s.lines[s.table] = number
}

// skipValue skips a value, or the continuation of one. It records in closingQuote and openBrackets whether the value continues
// on the next line.
func (s *tomlScanner) skipValue(rest string) {
	for rest != "" {
		switch c := rest[0]; {
		case c == '#':
			return
		case strings.HasPrefix(rest, `"""`) || strings.HasPrefix(rest, `'''`):
			quote := rest[:3]
			_, after, closed := strings.Cut(rest[3:], quote)
			if !closed {
				s.closingQuote = quote
				return
			}
			rest = after
			continue
		case c == '"' || c == '\'':
			rest = rest[1+quotedLength(rest[1:], c):]
			continue
		case c == '[' || c == '{':
			s.openBrackets++
		case c == ']' || c == '}':
			s.openBrackets--
		}
		rest = rest[1:]
	}
}

// quotedLength returns the length of a quoted string, including its closing quote. s begins after the opening quote. Only
// double-quoted strings have escapes.
func quotedLength(s string, quote byte) int {
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && quote == '"':
			i++
		case s[i] == quote:
			return i + 1
		}
	}
	return len(s)
}

// cutKey splits a line at the first equals sign outside quotes. ok is false if there is none.
func cutKey(line string) (key, value string, ok bool) {
	for i := 0; i < len(line); i++ {
		switch c := line[i]; c {
		case '"', '\'':
			i += quotedLength(line[i+1:], c)
		case '=':
			return line[:i], line[i+1:], true
		}
	}
	return "", "", false
}

// unquoteKey removes the quotes and the surrounding white space from each part of a dotted key.
func unquoteKey(key string) string {
	parts := strings.Split(key, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}
