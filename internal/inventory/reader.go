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

// byteOrderMark is what some tools write before UTF-8.
var byteOrderMark = []byte("\xef\xbb\xbf")

// maxSize bounds a server's relative capacity.
const maxSize = 1e6

// reader collects the servers and diagnostics of one file, in either form.
type reader struct {
	name        string
	options     Options
	diagnostics Diagnostics
	servers     []Server
	ids         map[string]position // where each id stands
	addresses   map[string]position
}

func newReader(name string, o Options) *reader {
	return &reader{name: name, options: o, ids: map[string]position{}, addresses: map[string]position{}}
}

// report adds a diagnostic.
func (r *reader) report(at position, format string, args ...any) {
	r.diagnostics.add(Diagnostic{
		File:    r.name,
		Line:    at.line,
		Column:  at.column,
		Row:     at.row,
		Message: fmt.Sprintf(format, args...),
	})
}

// fieldName is the name of a column or key in our words, and whether we know it.
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

// value is one field of a row.
type value struct {
	text string
	list []string // of tags, where the form has lists; nil: in text
	at   position
}

// addRow adds one server from its fields.
func (r *reader) addRow(at position, values map[string]value) {
	if len(r.servers) >= maxServers {
		if len(r.servers) == maxServers {
			r.report(at, "more than %d servers", maxServers)
		}
		r.servers = append(r.servers[:maxServers], Server{})
		return
	}
	s := Server{Phase: Serving}
	for name, v := range values {
		if len(v.text) > maxFieldBytes {
			r.report(v.at, "%s has %d bytes, %d at most", name, len(v.text), maxFieldBytes)
			continue
		}
		if v.at.line == 0 {
			v.at = at
		}
		r.setField(&s, name, v)
	}
	r.checkRow(at, &s)
	r.servers = append(r.servers, s)
}

// setField sets one field of a server.
func (r *reader) setField(s *Server, name string, v value) {
	text := strings.TrimSpace(v.text)
	switch name {
	case fieldID:
		s.ID = text
		if len(text) > maxIDBytes || strings.ContainsFunc(text, unfitForID) {
			r.report(v.at, "id %q has blanks, control characters or more than %d bytes", text, maxIDBytes)
		}
	case fieldAddress:
		s.Address = text
		if text != "" && !validAddress(text) {
			r.report(v.at, "address %q is no IP address with a port: there is no name service", text)
		}
	case fieldZone:
		s.Zone = text
	case fieldPod:
		s.Pod = text
	case fieldSize:
		s.Size = r.parseSize(text, v.at)
	case fieldPhase:
		phase, known := phaseWords[strings.ToLower(text)]
		if !known {
			r.report(v.at, "phase %q is not known: serving or draining is wanted", text)
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

// unfitForID reports whether a character must not stand in an id. U+FFFD comes of text that was not UTF-8.
func unfitForID(c rune) bool { return c <= ' ' || c == 0x7f || c == utf8.RuneError }

func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(strings.TrimPrefix(text, SchemeCoAP))
	return err == nil && address.Port() != 0
}

// parseSize reads a relative capacity; 0 where none is stated.
func (r *reader) parseSize(text string, at position) float64 {
	if text == "" {
		return 0
	}
	size, err := strconv.ParseFloat(text, 64)
	inRange := size > 0 && size <= maxSize // false for NaN as well
	if err != nil || !inRange {
		r.report(at, "size %q is no number above 0", text)
	}
	return size
}

// splitTags splits tags in one field at semicolons, bars or blanks.
func splitTags(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ';' || c == '|' || c == ' ' })
}

// checkRow checks that a row has an id, and that no other has the same id or address.
func (r *reader) checkRow(at position, s *Server) {
	if s.ID == "" {
		r.report(at, "no id")
		return
	}
	if first, ok := r.ids[s.ID]; ok {
		other := r.servers[first.row-1]
		if other.Pod != s.Pod {
			r.report(at, "id %q stands in row %d (line %d) too, there with pod %q, here with pod %q", s.ID, first.row, first.line, other.Pod, s.Pod)
		} else {
			r.report(at, "id %q stands in row %d (line %d) too", s.ID, first.row, first.line)
		}
		return
	}
	r.ids[s.ID] = at
	if s.Address == "" {
		return
	}
	if first, ok := r.addresses[s.Address]; ok {
		other := r.servers[first.row-1]
		r.report(at, "address %s stands in row %d (line %d) too, for id %q", s.Address, first.row, first.line, other.ID)
		return
	}
	r.addresses[s.Address] = at
}

// checkTrailer checks the last line, where a trailer is required.
func (r *reader) checkTrailer(raw []byte) {
	if !r.options.Trailer {
		return
	}
	lines := strings.Split(strings.TrimRight(string(raw), "\r\n"), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	count, found := strings.CutPrefix(last, "# end ")
	n, err := strconv.Atoi(strings.TrimSpace(count))
	at := position{line: len(lines), column: 1}
	switch {
	case !found || err != nil:
		r.report(at, "the last line is not \"# end N\" with the number of servers: the file is cut off")
	case n != len(r.servers):
		r.report(at, "the last line tells of %d servers, there are %d", n, len(r.servers))
	case !bytes.HasSuffix(raw, []byte("\n")):
		r.report(at, "the last line has no end: the file may be cut off")
	}
}

// checkUTF8 reports a text that is not UTF-8, and whether it is.
func checkUTF8(body []byte) (position, bool) {
	if utf8.Valid(body) {
		return position{}, true
	}
	return position{line: 1 + bytes.Count(body[:firstInvalid(body)], []byte("\n")), column: 1}, false
}

// firstInvalid is the offset of the first byte that is not UTF-8.
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

// result is the complete list, or the diagnostics if there are any.
func (r *reader) result(raw []byte) (List, error) {
	minRows := max(1, r.options.MinRows)
	if n := len(r.servers); r.diagnostics.Total == 0 && n < minRows {
		r.report(position{}, "%d servers, at least %d are wanted", n, minRows)
	}
	if r.diagnostics.Total > 0 {
		r.diagnostics.sort()
		return List{}, &r.diagnostics
	}
	return List{Servers: r.servers, SHA256: SHA256(raw)}, nil
}
