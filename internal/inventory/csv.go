package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"unicode/utf8"
)

// bom is what some tools write before UTF-8.
var bom = []byte("\xef\xbb\xbf")

// ParseCSV reads RFC 4180: a header names the columns, in any order; quoted fields, either end of line, a byte order mark and
// comment lines beginning with # are read.
func ParseCSV(name string, raw []byte, o Options) (List, error) {
	if err := tooLarge(name, raw); err != nil {
		return List{}, err
	}
	r := newReader(name, o)
	body := bytes.TrimPrefix(raw, bom)
	if !utf8.Valid(body) {
		r.fault(place{line: 1 + bytes.Count(body[:firstInvalid(body)], []byte("\n")), column: 1}, "not UTF-8")
		return r.list(raw)
	}
	c := csv.NewReader(bytes.NewReader(body))
	c.Comment, c.ReuseRecord, c.FieldsPerRecord = '#', true, -1
	columns := r.header(c)
	if columns == nil {
		return r.list(raw)
	}
	for n := 1; ; n++ {
		record, err := c.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.unreadable(err, n)
			return r.list(raw)
		}
		r.record(c, record, columns, n)
	}
	r.trailer(body, len(r.servers))
	return r.list(raw)
}

// header reads the columns' names; nil where they cannot be taken.
func (r *reader) header(c *csv.Reader) []string {
	record, err := c.Read()
	if errors.Is(err, io.EOF) {
		r.fault(place{}, "the file is empty: a header is wanted")
		return nil
	}
	if err != nil {
		r.unreadable(err, 0)
		return nil
	}
	seen := map[string]bool{}
	out := make([]string, 0, len(record))
	for i, name := range record {
		line, column := c.FieldPos(i)
		field, _ := r.field(name)
		switch {
		case field == "":
			r.fault(place{line: line, column: column}, "column %d has no name", i+1)
		case seen[field]:
			r.fault(place{line: line, column: column}, "column %q comes twice", field)
		}
		seen[field] = true
		out = append(out, field)
	}
	if !seen[fieldID] {
		line, column := c.FieldPos(0)
		r.fault(place{line: line, column: column}, "no column id")
	}
	if r.faults.Total > 0 {
		return nil
	}
	return out
}

// record takes one row.
func (r *reader) record(c *csv.Reader, record, columns []string, n int) {
	line, column := c.FieldPos(0)
	at := place{line, column, n}
	if len(record) != len(columns) {
		r.fault(at, "%d fields, the header has %d columns", len(record), len(columns))
		r.servers = append(r.servers, Server{}) // rows keep their numbers
		return
	}
	values := make(map[string]value, len(record))
	for i, text := range record {
		line, column := c.FieldPos(i)
		values[columns[i]] = value{text: text, at: place{line, column, n}}
	}
	r.row(at, values)
}

func (r *reader) unreadable(err error, n int) {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		r.fault(place{pe.Line, pe.Column, n}, "%v", pe.Err)
		return
	}
	r.fault(place{row: n}, "%v", err)
}

func firstInvalid(b []byte) int {
	for i := 0; i < len(b); {
		c, n := utf8.DecodeRune(b[i:])
		if c == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(b)
}
