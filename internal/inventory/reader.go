package inventory

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// byteOrderMark is the UTF-8 byte order mark that some tools write at the start of a file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// maxSize is the maximum relative capacity of a server.
const maxSize = 1e6

// reader collects the servers and diagnostics of one CSV or YAML file.
type reader struct {
	name        string
	options     Options
	diagnostics Diagnostics
	servers     []Server
	ids         map[string]position // position of each id
	addresses   map[string]position // position of each address
}

func newReader(name string, o Options) *reader {
	return &reader{name: name, options: o, ids: map[string]position{}, addresses: map[string]position{}}
}

// report adds a diagnostic at a position.
func (r *reader) report(pos position, format string, args ...any) {
	r.diagnostics.add(Diagnostic{
		File:    r.name,
		Line:    pos.line,
		Column:  pos.column,
		Row:     pos.row,
		Message: fmt.Sprintf(format, args...),
	})
}

// fieldName returns the field's name for a column or key, and whether the field is known.
func (r *reader) fieldName(name string) (string, bool) {
	name = strings.TrimSpace(name)
	if alias, ok := r.options.Aliases[name]; ok {
		name = alias
	}
	lower := strings.ToLower(name)
	if slices.Contains(fields, lower) {
		return lower, true
	}
	return name, false
}

// value is the value of one field of a row.
type value struct {
	text string
	list []string // elements of a YAML list, only used for tags; nil: the value is in text
	pos  position
}

// addRow adds one server from the values of its fields.
func (r *reader) addRow(pos position, values map[string]value) {
	if len(r.servers) >= maxServers {
		if len(r.servers) == maxServers {
			r.report(pos, "more than %d servers", maxServers)
		}
		r.servers = append(r.servers[:maxServers], Server{})
		return
	}
	s := Server{Phase: Serving}
	for name, v := range values {
		if len(v.text) > maxFieldBytes {
			r.report(v.pos, "%s has %d bytes, at most %d are allowed", name, len(v.text), maxFieldBytes)
			continue
		}
		if v.pos.line == 0 {
			v.pos = pos
		}
		r.setField(&s, name, v)
	}
	r.checkRow(pos, &s)
	r.servers = append(r.servers, s)
}

// setField parses a value and sets a server's field.
func (r *reader) setField(s *Server, name string, v value) {
	text := strings.TrimSpace(v.text)
	switch name {
	case fieldID:
		s.ID = text
		if len(text) > maxIDBytes || strings.ContainsFunc(text, invalidInID) {
			r.report(v.pos, "id %q contains spaces, control characters or invalid UTF-8, or has more than %d bytes", text, maxIDBytes)
		}
	case fieldAddress:
		s.Address = text
		if text != "" && !validAddress(text) {
			r.report(v.pos, "address %q is not an IP address with a port: host names are not resolved", text)
		}
	case fieldZone:
		s.Zone = text
	case fieldPod:
		s.Pod = text
	case fieldSize:
		s.Size = r.parseSize(text, v.pos)
	case fieldPhase:
		phase, known := phaseAliases[strings.ToLower(text)]
		if !known {
			r.report(v.pos, "unknown phase %q: expected serving or draining", text)
		}
		s.Phase = phase
	case fieldTags:
		s.Tags = v.list
		if v.list == nil {
			s.Tags = splitTags(text)
		}
	default:
		if s.Extra == nil {
			s.Extra = map[string]string{}
		}
		s.Extra[name] = v.text
	}
}

// invalidInID reports whether a character is not allowed in an id. U+FFFD results from text that is not valid UTF-8.
func invalidInID(c rune) bool { return c <= ' ' || c == 0x7f || c == utf8.RuneError }

func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(strings.TrimPrefix(text, SchemeCoAP))
	return err == nil && address.Port() != 0
}

// parseSize parses a relative capacity. It returns 0 for an empty text.
func (r *reader) parseSize(text string, pos position) float64 {
	if text == "" {
		return 0
	}
	size, err := strconv.ParseFloat(text, 64)
	inRange := size > 0 && size <= maxSize // false for NaN as well
	if err != nil || !inRange {
		r.report(pos, "size %q: expected a number above 0 and at most %.0f", text, maxSize)
	}
	return size
}

// splitTags splits a field of tags at semicolons, vertical bars and spaces.
func splitTags(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ';' || c == '|' || c == ' ' })
}

// checkRow checks that a row has an id, and that no earlier row has the same id or address.
func (r *reader) checkRow(pos position, s *Server) {
	if s.ID == "" {
		r.report(pos, "missing id")
		return
	}
	if first, ok := r.ids[s.ID]; ok {
		other := r.servers[first.row-1]
		if other.Pod != s.Pod {
			r.report(pos, "id %q is also in row %d (line %d), there with pod %q, here with pod %q", s.ID, first.row, first.line, other.Pod, s.Pod)
		} else {
			r.report(pos, "id %q is also in row %d (line %d)", s.ID, first.row, first.line)
		}
		return
	}
	r.ids[s.ID] = pos
	if s.Address == "" {
		return
	}
	if first, ok := r.addresses[s.Address]; ok {
		other := r.servers[first.row-1]
		r.report(pos, "address %s is also in row %d (line %d), for id %q", s.Address, first.row, first.line, other.ID)
		return
	}
	r.addresses[s.Address] = pos
}

// checkTrailer checks the last line if a trailer is required.
func (r *reader) checkTrailer(raw []byte) {
	if !r.options.Trailer {
		return
	}
	lines := strings.Split(strings.TrimRight(string(raw), "\r\n"), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	count, found := strings.CutPrefix(last, "# end ")
	n, err := strconv.Atoi(strings.TrimSpace(count))
	pos := position{line: len(lines), column: 1}
	switch {
	case !found || err != nil:
		r.report(pos, "the last line is not \"# end N\" with the number of servers: the file is truncated")
	case n != len(r.servers):
		r.report(pos, "the last line states %d servers, the file has %d", n, len(r.servers))
	case !bytes.HasSuffix(raw, []byte("\n")):
		r.report(pos, "the last line has no line ending: the file may be truncated")
	}
}

// checkUTF8 reports whether a text is valid UTF-8. If it is not, it returns the position of the line with the first invalid byte.
func checkUTF8(body []byte) (position, bool) {
	if utf8.Valid(body) {
		return position{}, true
	}
	return position{line: 1 + bytes.Count(body[:firstInvalid(body)], []byte("\n")), column: 1}, false
}

// firstInvalid returns the offset of the first byte that is not valid UTF-8.
func firstInvalid(body []byte) int {
	for i := 0; i < len(body); {
		c, n := utf8.DecodeRune(body[i:])
		if c == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(body)
}

// result returns the complete list, or the diagnostics if there are any.
func (r *reader) result(raw []byte) (List, error) {
	minRows := max(1, r.options.MinRows)
	if n := len(r.servers); r.diagnostics.Total == 0 && n < minRows {
		r.report(position{}, "%d servers, expected at least %d", n, minRows)
	}
	if r.diagnostics.Total > 0 {
		r.diagnostics.sort()
		return List{}, &r.diagnostics
	}
	return List{Servers: r.servers, SHA256: SHA256(raw)}, nil
}
