// Package configpos finds the lines on which keys stand in files that were read already, so that a fault can name its line.
// It is pure. A file that its own parser refuses gets whatever could be found.
package configpos

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// Lines are keys in dotted form, with [n] for the n-th entry of a list, and the lines they begin on, from 1.
type Lines map[string]int

// Of is the line of a key, or of the nearest one above it that is known; 0 where none is.
func (l Lines) Line(key string) int {
	for {
		if n, ok := l[key]; ok {
			return n
		}
		cut := max(strings.LastIndexByte(key, '.'), strings.LastIndexByte(key, '['))
		if cut <= 0 {
			return 0
		}
		key = key[:cut]
	}
}

// LineAt is the line of an offset in bytes.
func LineAt(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:max(0, min(offset, int64(len(raw))))], []byte("\n"))
}

// JSON finds the keys of a JSON text.
func JSON(raw []byte) Lines {
	w := &walker{raw: raw, dec: json.NewDecoder(bytes.NewReader(raw)), out: Lines{}}
	_ = w.value("") // a text that cannot be read gets what was found until then
	return w.out
}

type walker struct {
	raw []byte
	dec *json.Decoder
	out Lines
}

func (w *walker) value(path string) error {
	t, err := w.dec.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.list(path)
	}
	return nil
}

func (w *walker) object(path string) error {
	for w.dec.More() {
		t, err := w.dec.Token()
		if err != nil {
			return err
		}
		key, ok := t.(string)
		if !ok {
			return errors.New("no key")
		}
		full := join(path, key)
		w.out[full] = LineAt(w.raw, w.dec.InputOffset())
		if err := w.value(full); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) list(path string) error {
	for i := 0; w.dec.More(); i++ {
		full := path + "[" + strconv.Itoa(i) + "]"
		w.out[full] = LineAt(w.raw, w.next())
		if err := w.value(full); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// next is where the next value begins, behind white space and a comma.
func (w *walker) next() int64 {
	at := w.dec.InputOffset()
	for at < int64(len(w.raw)) && bytes.IndexByte([]byte(" \t\r\n,"), w.raw[at]) >= 0 {
		at++
	}
	return at
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// TOML finds the keys of a TOML text.
func TOML(text string) Lines {
	t := &tomlScan{out: Lines{}, tables: map[string]int{}}
	for i, line := range strings.Split(text, "\n") {
		t.line(i+1, line)
	}
	return t.out
}

type tomlScan struct {
	out    Lines
	table  string
	tables map[string]int // how many entries a list of tables has so far
	quote  string         // within a text over several lines: what ends it
	depth  int            // of brackets within a value over several lines
}

func (t *tomlScan) line(n int, line string) {
	if t.quote != "" {
		_, rest, ends := strings.Cut(line, t.quote)
		if !ends {
			return
		}
		t.quote = ""
		t.skip(rest)
		return
	}
	if t.depth > 0 {
		t.skip(line)
		return
	}
	line = strings.TrimSpace(line)
	switch {
	case line == "" || line[0] == '#':
	case strings.HasPrefix(line, "[["):
		name, _, _ := strings.Cut(line[2:], "]]")
		t.table = plain(name)
		i := t.tables[t.table]
		t.tables[t.table]++
		if i == 0 {
			t.out[t.table] = n
		}
		t.table += "[" + strconv.Itoa(i) + "]"
		t.out[t.table] = n
	case line[0] == '[':
		name, _, _ := strings.Cut(line[1:], "]")
		t.table = plain(name)
		t.out[t.table] = n
	default:
		key, value, ok := cutKey(line)
		if ok {
			t.out[join(t.table, plain(key))] = n
			t.skip(value)
		}
	}
}

// skip passes over a value, and notes whether it goes on in the next line.
func (t *tomlScan) skip(rest string) {
	for rest != "" {
		switch c := rest[0]; {
		case c == '#':
			return
		case strings.HasPrefix(rest, `"""`) || strings.HasPrefix(rest, `'''`):
			quote := rest[:3]
			_, after, ends := strings.Cut(rest[3:], quote)
			if !ends {
				t.quote = quote
				return
			}
			rest = after
			continue
		case c == '"' || c == '\'':
			rest = rest[1+endOfText(rest[1:], c):]
			continue
		case c == '[' || c == '{':
			t.depth++
		case c == ']' || c == '}':
			t.depth--
		}
		rest = rest[1:]
	}
}

// endOfText is the length of a text up to and with its closing quote.
func endOfText(s string, quote byte) int {
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
			i += endOfText(line[i+1:], c)
		case '=':
			return line[:i], line[i+1:], true
		}
	}
	return "", "", false
}

// plain is a key without quotes and blanks.
func plain(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(p), `"'`)
	}
	return strings.Join(parts, ".")
}
