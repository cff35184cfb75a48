package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
)

// ParseCSV reads a list by RFC 4180. A header names the columns, in any order; quoted fields, either line ending, a byte
// order mark and comment lines beginning with # are read. The error is a *Diagnostics.
func ParseCSV(name string, raw []byte, o Options) (List, error) {
	if err := checkSize(name, raw); err != nil {
		return List{}, err
	}
	r := &csvReader{reader: newReader(name, o)}
	r.read(bytes.TrimPrefix(raw, byteOrderMark))
	return r.result(raw)
}

// csvReader reads the rows of a CSV file.
type csvReader struct {
	*reader
	csv     *csv.Reader
	columns []string
}

// read reads the file up to an error that leaves nothing more to read.
func (r *csvReader) read(body []byte) {
	if at, ok := checkUTF8(body); !ok {
		r.report(at, "not UTF-8")
		return
	}
	r.csv = csv.NewReader(bytes.NewReader(body))
	r.csv.Comment = '#'
	r.csv.ReuseRecord = true
	r.csv.FieldsPerRecord = -1 // counted by addRecord, which names the row
	if !r.readHeader() {
		return
	}
	for row := 1; ; row++ {
		record, err := r.csv.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.reportParseError(err, row)
			return
		}
		r.addRecord(record, row)
	}
	r.checkTrailer(body)
}

// readHeader reads the names of the columns, and reports whether they can be used.
func (r *csvReader) readHeader() bool {
	record, err := r.csv.Read()
	if errors.Is(err, io.EOF) {
		r.report(position{}, "the file is empty: a header is wanted")
		return false
	}
	if err != nil {
		r.reportParseError(err, 0)
		return false
	}
	seen := map[string]bool{}
	for i, name := range record {
		field, _ := r.fieldName(name)
		switch {
		case field == "":
			r.report(r.position(i, 0), "column %d has no name", i+1)
		case seen[field]:
			r.report(r.position(i, 0), "column %q comes twice", field)
		}
		seen[field] = true
		r.columns = append(r.columns, field)
	}
	if !seen[fieldID] {
		r.report(r.position(0, 0), "no column id")
	}
	return r.diagnostics.Total == 0
}

// addRecord adds one row.
func (r *csvReader) addRecord(record []string, row int) {
	at := r.position(0, row)
	if len(record) != len(r.columns) {
		r.report(at, "%d fields, the header has %d columns", len(record), len(r.columns))
		r.servers = append(r.servers, Server{}) // later rows keep their numbers
		return
	}
	values := make(map[string]value, len(record))
	for i, text := range record {
		values[r.columns[i]] = value{text: text, at: r.position(i, row)}
	}
	r.addRow(at, values)
}

// position is where a field of the record read last stands.
func (r *csvReader) position(field, row int) position {
	line, column := r.csv.FieldPos(field)
	return position{line: line, column: column, row: row}
}

func (r *csvReader) reportParseError(err error, row int) {
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		r.report(position{line: parseErr.Line, column: parseErr.Column, row: row}, "%v", parseErr.Err)
		return
	}
	r.report(position{row: row}, "%v", err)
}
