package configpos

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

// errNoKey says that an object has something else in place of a key.
var errNoKey = errors.New("no key")

// JSON finds the keys of a JSON text. Of one that is malformed it finds the keys before the error.
func JSON(raw []byte) Lines {
	w := &jsonWalker{raw: raw, decoder: json.NewDecoder(bytes.NewReader(raw)), lines: Lines{}}
	_ = w.value("") // what was found until an error is the result
	return w.lines
}

// jsonWalker walks through the tokens of a text.
type jsonWalker struct {
	raw     []byte
	decoder *json.Decoder
	lines   Lines
}

// value walks through the value of a key.
func (w *jsonWalker) value(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.array(path)
	}
	return nil
}

func (w *jsonWalker) object(path string) error {
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errNoKey
		}
		key := join(path, name)
		w.lines[key] = LineAt(w.raw, w.decoder.InputOffset())
		if err := w.value(key); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token() // the closing bracket
	return err
}

func (w *jsonWalker) array(path string) error {
	for i := 0; w.decoder.More(); i++ {
		key := path + "[" + strconv.Itoa(i) + "]"
		w.lines[key] = LineAt(w.raw, w.nextValue())
		if err := w.value(key); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// nextValue is the offset of the next value, after white space and a comma.
func (w *jsonWalker) nextValue() int64 {
	offset := w.decoder.InputOffset()
	for offset < int64(len(w.raw)) && bytes.IndexByte([]byte(" \t\r\n,"), w.raw[offset]) >= 0 {
		offset++
	}
	return offset
}
