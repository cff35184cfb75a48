package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
)

// ParseCSV parses a list in CSV as defined in RFC 4180. The header line names the columns, in any order. Quoted fields,
// LF and CRLF line endings, a byte order mark and comment lines beginning with # are supported. The error is a *Diagnostics.
func ParseCSV(name string, raw []byte, o Options) (List, error) {
	if err := checkSize(name, raw); err != nil {
		return List{}, err
	}
	r := &csvReader{reader: newReader(name, o)}
	r.read(bytes.TrimPrefix(raw, byteOrderMark))
	return r.result(raw)
}

// csvReader parses the rows of a CSV file.
type csvReader struct {
	*reader
	csv     *csv.Reader
	columns []string
}

// read parses the file up to its end, or to an error that prevents further parsing: invalid UTF-8, an invalid header or a syntax
// error.
func (r *csvReader) read(body []byte) {
	if pos, ok := checkUTF8(body); !ok {
		r.report(pos, "invalid UTF-8")
		return
	}
	r.csv = csv.NewReader(bytes.NewReader(body))
	r.csv.Comment = '#'
	r.csv.ReuseRecord = true
	r.csv.FieldsPerRecord = -1 // the csv package does not check the number: addRecord reports a wrong one with its row
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

// readHeader reads the column names, and reports whether they are valid.
func (r *csvReader) readHeader() bool {
	record, err := r.csv.Read()
	if errors.Is(err, io.EOF) {
		r.report(position{}, "the file is empty: expected a header line")
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
			r.report(r.position(i, 0), "duplicate column %q", field)
		}
		seen[field] = true
		r.columns = append(r.columns, field)
	}
	if !seen[fieldID] {
		r.report(r.position(0, 0), "missing column \"id\"")
	}
	return r.diagnostics.Total == 0
}

// addRecord adds the server of one row, or reports that the row has a wrong number of fields.
func (r *csvReader) addRecord(record []string, row int) {
	pos := r.position(0, row)
	if len(record) != len(r.columns) {
		r.report(pos, "%d fields, the header has %d columns", len(record), len(r.columns))
		r.servers = append(r.servers, Server{}) // placeholder, so that later rows keep their numbers
		return
	}
	values := make(map[string]value, len(record))
	for i, text := range record {
		values[r.columns[i]] = value{text: text, pos: r.position(i, row)}
	}
	r.addRow(pos, values)
}

// position returns the position of a field of the last record that was read.
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
