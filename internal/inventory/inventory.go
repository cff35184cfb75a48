// Package inventory reads lists of servers as configuration tools keep them, in CSV or YAML. It is pure: bytes come in, a
// whole list or every fault comes out. A list with one fault is no list.
package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Phase says what a source wants of a server.
type Phase string

// The phases.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining"
)

// phases are the words that tools use.
var phases = map[string]Phase{
	"": Serving, "serving": Serving, "active": Serving, "enabled": Serving, "up": Serving, "in": Serving,
	"draining": Draining, "drain": Draining, "disabled": Draining, "maintenance": Draining, "out": Draining,
}

// Server is one server as a source tells it. An empty field is one that the source does not speak of.
type Server struct {
	ID      string            `json:"id"`
	Address string            `json:"address,omitempty"` // IP address and port, perhaps after coap://
	Zone    string            `json:"zone,omitempty"`
	Pod     string            `json:"pod,omitempty"` // servers with one pod drop a keyed request's repeats together
	Size    float64           `json:"size,omitempty"`
	Phase   Phase             `json:"phase,omitempty"`
	Started float64           `json:"started,omitempty"` // Unix milliseconds of its process's start; 0: not told
	Tags    []string          `json:"tags,omitempty"`
	Extra   map[string]string `json:"extra,omitempty"` // what no field is known for: carried along and shown
}

// List is a whole list that was taken.
type List struct {
	Servers []Server
	SHA256  string // SHA-256 of the bytes, in hexadecimal: the list's revision
}

// Fault is one thing that is wrong with a file. Row counts servers from 1; 0 where none is meant.
type Diagnostic struct {
	File    string
	Line    int
	Column  int
	Row     int
	Message string
}

// String is the fault as one line.
func (f Diagnostic) String() string {
	out := f.File
	if f.Line > 0 {
		out += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Row > 0 {
		out += fmt.Sprintf(": row %d", f.Row)
	}
	return out + ": " + f.Message
}

// FaultsTold is how many faults of one file are kept: a file of another kind has one in every row.
const MaxDiagnostics = 20

// Faults are what is wrong with a file: the first ones, and how many there are in all.
type Diagnostics struct {
	First []Diagnostic
	Total int
}

// Error tells the first fault and the number.
func (f *Diagnostics) Error() string {
	if f.Total == 1 {
		return f.First[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", f.First[0], f.Total-1)
}

func (f *Diagnostics) add(fault Diagnostic) {
	f.Total++
	if len(f.First) < MaxDiagnostics {
		f.First = append(f.First, fault)
	}
}

// Options say how files are to be read.
type Options struct {
	Aliases map[string]string // from a file's word for a column or key to ours
	MinRows int               // fewer servers make no list: a file cut off at a line's end reads well
	Trailer bool              // the last line must be a comment "# end N", with the number of servers
}

// SchemeCoap before an address says that the server speaks CoAP instead of HTTP.
const SchemeCoAP = "coap://"

// The bounds of a file. Ten thousand servers take one megabyte as CSV and three as YAML.
const (
	MaxBytes = 8 << 20
	maxRows  = 100_000
	maxID    = 128
	maxField = 1024
)

// The fields by their names in a file.
const (
	fieldID      = "id"
	fieldAddress = "address"
	fieldZone    = "zone"
	fieldPod     = "pod"
	fieldSize    = "size"
	fieldPhase   = "phase"
	fieldTags    = "tags"
)

var fields = []string{fieldID, fieldAddress, fieldZone, fieldPod, fieldSize, fieldPhase, fieldTags}

// Parse reads a file by the ending of its name: .csv, .yaml or .yml.
func Parse(name string, raw []byte, o Options) (List, error) {
	switch ext := strings.ToLower(filepath.Ext(name)); ext {
	case ".csv":
		return ParseCSV(name, raw, o)
	case ".yaml", ".yml":
		return ParseYAML(name, raw, o)
	default:
		return List{}, &Diagnostics{First: []Diagnostic{{File: name, Message: fmt.Sprintf("ending %q is not known: .csv, .yaml or .yml is wanted", ext)}}, Total: 1}
	}
}

// reader gathers the servers and faults of one file.
type reader struct {
	name    string
	o       Options
	faults  Diagnostics
	servers []Server
	ids     map[string]place
	addrs   map[string]place
}

// place is where a row stands.
type place struct{ line, column, row int }

func newReader(name string, o Options) *reader {
	return &reader{name: name, o: o, ids: map[string]place{}, addrs: map[string]place{}}
}

func (r *reader) fault(at place, format string, args ...any) {
	r.faults.add(Diagnostic{r.name, at.line, at.column, at.row, fmt.Sprintf(format, args...)})
}

// field is the name of a column or key in our words, and whether it is one of ours.
func (r *reader) field(name string) (string, bool) {
	name = strings.TrimSpace(name)
	if ours, ok := r.o.Aliases[name]; ok {
		name = ours
	}
	lower := strings.ToLower(name)
	if slices.Contains(fields, lower) {
		return lower, true
	}
	return name, false
}

// value is one field of a row, with where it stands.
type value struct {
	text string
	list []string // of tags, where the form has lists
	at   place
}

// row takes one server from its fields.
func (r *reader) row(at place, values map[string]value) {
	if len(r.servers) >= maxRows {
		if len(r.servers) == maxRows {
			r.fault(at, "more than %d servers", maxRows)
		}
		r.servers = append(r.servers[:maxRows], Server{})
		return
	}
	s := Server{Phase: Serving}
	for name, v := range values {
		if len(v.text) > maxField {
			r.fault(v.at, "%s has %d bytes, %d at most", name, len(v.text), maxField)
			continue
		}
		if v.at.line == 0 {
			v.at = at
		}
		r.set(&s, name, v)
	}
	r.whole(at, &s)
	r.servers = append(r.servers, s)
}

// set fills one field.
func (r *reader) set(s *Server, name string, v value) {
	text := strings.TrimSpace(v.text)
	switch name {
	case fieldID:
		s.ID = text
		if len(text) > maxID || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '�' }) {
			r.fault(v.at, "id %q has blanks, control characters or more than %d bytes", text, maxID)
		}
	case fieldAddress:
		s.Address = text
		if a, err := netip.ParseAddrPort(strings.TrimPrefix(text, SchemeCoAP)); text != "" && (err != nil || a.Port() == 0) {
			r.fault(v.at, "address %q is no IP address with a port: there is no name service", text)
		}
	case fieldZone:
		s.Zone = text
	case fieldPod:
		s.Pod = text
	case fieldSize:
		if text == "" {
			return
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n > 0) || n > 1e6 {
			r.fault(v.at, "size %q is no number above 0", text)
		}
		s.Size = n
	case fieldPhase:
		p, ok := phases[strings.ToLower(text)]
		if !ok {
			r.fault(v.at, "phase %q is not known: serving or draining is wanted", text)
		}
		s.Phase = p
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

// splitTags cuts tags in one field at semicolons, bars or blanks.
func splitTags(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ';' || c == '|' || c == ' ' })
}

// whole checks what a row must have, and that no other row contradicts it.
func (r *reader) whole(at place, s *Server) {
	if s.ID == "" {
		r.fault(at, "no id")
		return
	}
	if first, ok := r.ids[s.ID]; ok {
		was := r.servers[first.row-1]
		switch {
		case was.Pod != s.Pod:
			r.fault(at, "id %q stands in row %d (line %d) too, there with pod %q, here with pod %q", s.ID, first.row, first.line, was.Pod, s.Pod)
		default:
			r.fault(at, "id %q stands in row %d (line %d) too", s.ID, first.row, first.line)
		}
		return
	}
	r.ids[s.ID] = at
	if s.Address == "" {
		return
	}
	if first, ok := r.addrs[s.Address]; ok {
		r.fault(at, "address %s stands in row %d (line %d) too, for id %q", s.Address, first.row, first.line, r.servers[first.row-1].ID)
		return
	}
	r.addrs[s.Address] = at
}

// list is the whole list, or the faults.
func (r *reader) list(raw []byte) (List, error) {
	if n := len(r.servers); r.faults.Total == 0 && n < max(1, r.o.MinRows) {
		r.fault(place{}, "%d servers, at least %d are wanted", n, max(1, r.o.MinRows))
	}
	if r.faults.Total > 0 {
		sort.SliceStable(r.faults.First, func(i, j int) bool { return r.faults.First[i].Line < r.faults.First[j].Line })
		return List{}, &r.faults
	}
	return List{Servers: r.servers, SHA256: SHA256(raw)}, nil
}

// trailer checks the last line, where one is asked for.
func (r *reader) trailer(raw []byte, rows int) {
	if !r.o.Trailer {
		return
	}
	lines := strings.Split(strings.TrimRight(string(raw), "\r\n"), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	count, ok := strings.CutPrefix(last, "# end ")
	n, err := strconv.Atoi(strings.TrimSpace(count))
	at := place{line: len(lines), column: 1}
	switch {
	case !ok || err != nil:
		r.fault(at, "the last line is not \"# end N\" with the number of servers: the file is cut off")
	case n != rows:
		r.fault(at, "the last line tells of %d servers, there are %d", n, rows)
	case len(raw) == 0 || raw[len(raw)-1] != '\n':
		r.fault(at, "the last line has no end: the file may be cut off")
	}
}

// Sum is the revision of a file's bytes.
func SHA256(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// tooLarge refuses what is beyond the bounds before it is parsed.
func tooLarge(name string, raw []byte) error {
	if len(raw) <= MaxBytes {
		return nil
	}
	return &Diagnostics{First: []Diagnostic{{File: name, Message: fmt.Sprintf("%d bytes, %d at most", len(raw), MaxBytes)}}, Total: 1}
}
