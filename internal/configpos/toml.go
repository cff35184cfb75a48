package configpos

import (
	"strconv"
	"strings"
)

// TOML finds the keys of a TOML text. It scans line by line and knows only as much of the language as it takes to tell keys
// from values: tables, quotes, brackets and comments. Keys of inline tables are not found.
func TOML(text string) Lines {
	s := &tomlScanner{lines: Lines{}, entries: map[string]int{}}
	for i, line := range strings.Split(text, "\n") {
		s.scanLine(i+1, line)
	}
	return s.lines
}

// tomlScanner is the state of a scan between two lines.
type tomlScanner struct {
	lines    Lines
	table    string         // the one that keys belong to now
	entries  map[string]int // of each array of tables, so far
	endQuote string         // that ends the multi-line string which the next line continues; empty: none
	depth    int            // of the brackets within the value that the next line continues; 0: none
}

func (s *tomlScanner) scanLine(number int, line string) {
	if s.endQuote != "" {
		_, rest, ends := strings.Cut(line, s.endQuote)
		if ends {
			s.endQuote = ""
			s.skipValue(rest)
		}
		return
	}
	if s.depth > 0 {
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
			s.lines[join(s.table, unquoteKey(key))] = number
			s.skipValue(value)
		}
	}
}

// beginArrayEntry begins a further entry of an array of tables. The array itself begins with its first one.
func (s *tomlScanner) beginArrayEntry(number int, array string) {
	entry := s.entries[array]
	s.entries[array]++
	if entry == 0 {
		s.lines[array] = number
	}
	s.table = array + "[" + strconv.Itoa(entry) + "]"
	s.lines[s.table] = number
}

// skipValue skips a value, or the rest of one, and notes whether the next line continues it.
func (s *tomlScanner) skipValue(rest string) {
	for rest != "" {
		switch c := rest[0]; {
		case c == '#':
			return
		case strings.HasPrefix(rest, `"""`) || strings.HasPrefix(rest, `'''`):
			quote := rest[:3]
			_, after, ends := strings.Cut(rest[3:], quote)
			if !ends {
				s.endQuote = quote
				return
			}
			rest = after
			continue
		case c == '"' || c == '\'':
			rest = rest[1+quotedLength(rest[1:], c):]
			continue
		case c == '[' || c == '{':
			s.depth++
		case c == ']' || c == '}':
			s.depth--
		}
		rest = rest[1:]
	}
}

// quotedLength is the length of a quoted string including its closing quote. Double-quoted strings have escapes.
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

// cutKey cuts a line at the first equals sign outside quotes.
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

// unquoteKey is a dotted key without quotes and blanks.
func unquoteKey(key string) string {
	parts := strings.Split(key, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}
