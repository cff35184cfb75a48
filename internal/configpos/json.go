package configpos

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

// errInvalidKey reports an object key that is not a string.
var errInvalidKey = errors.New("JSON object key is not a string")

// JSON returns the lines of the keys in a JSON text. If the text is malformed, it returns the keys before the error.
func JSON(raw []byte) Lines {
	w := &jsonWalker{raw: raw, decoder: json.NewDecoder(bytes.NewReader(raw)), lines: Lines{}}
	_ = w.walkValue("") // after an error, the keys found so far are the result
	return w.lines
}

// jsonWalker reads the tokens of a JSON text and records the line of each key.
type jsonWalker struct {
	raw     []byte
	decoder *json.Decoder
	lines   Lines
}

// walkValue reads one value. path is the dotted key of the value.
func (w *jsonWalker) walkValue(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return w.walkObject(path)
	case json.Delim('['):
		return w.walkArray(path)
	}
	return nil
}

// walkObject reads the rest of an object after its opening brace.
func (w *jsonWalker) walkObject(path string) error {
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, isString := token.(string)
		if !isString {
			return errInvalidKey
		}
		key := joinKey(path, name)
		w.lines[key] = LineAt(w.raw, w.decoder.InputOffset())
		if err := w.walkValue(key); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token() // the closing brace
	return err
}

// walkArray reads the rest of an array after its opening bracket.
func (w *jsonWalker) walkArray(path string) error {
	for i := 0; w.decoder.More(); i++ {
		key := path + "[" + strconv.Itoa(i) + "]"
		w.lines[key] = LineAt(w.raw, w.nextValueOffset())
		if err := w.walkValue(key); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token() // the closing bracket
	return err
}

// nextValueOffset returns the byte offset of the next value, after white space and a comma.
func (w *jsonWalker) nextValueOffset() int64 {
	offset := w.decoder.InputOffset()
	for offset < int64(len(w.raw)) && bytes.IndexByte([]byte(" \t\r\n,"), w.raw[offset]) >= 0 {
		offset++
	}
	return offset
}
