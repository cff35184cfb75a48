package wire

import (
	"github.com/plgd-dev/go-coap/v3/message"

	"tackhub.example/tackhub/internal/coap/blocks"
)

// maxUintLength is the maximum length in bytes of an option that is read as a number.
const maxUintLength = 4

// Uint returns the value of the first option of a message with the given id, as a number; false if there is none.
// Options longer than four bytes are skipped.
func Uint(m *message.Message, id message.OptionID) (uint32, bool) {
	for _, option := range m.Options {
		if option.ID != id || len(option.Value) > maxUintLength {
			continue
		}
		value := uint32(0)
		for _, b := range option.Value {
			value = value<<8 | uint32(b)
		}
		return value, true
	}
	return 0, false
}

// Bytes returns the value of the first option of a message with the given id; false if there is none.
func Bytes(m *message.Message, id message.OptionID) ([]byte, bool) {
	for _, option := range m.Options {
		if option.ID == id {
			return option.Value, true
		}
	}
	return nil, false
}

// Strings returns the values of all options of a message with the given id, in order.
func Strings(m *message.Message, id message.OptionID) []string {
	var values []string
	for _, option := range m.Options {
		if option.ID == id {
			values = append(values, string(option.Value))
		}
	}
	return values
}

// Block reads a Block1 or Block2 option (RFC 7959); present is false if the message has none. The error is that of
// blocks.Parse.
func Block(m *message.Message, id message.OptionID) (b blocks.Block, present bool, err error) {
	value, ok := Uint(m, id)
	if !ok {
		return blocks.Block{}, false, nil
	}
	b, err = blocks.Parse(value)
	return b, true, err
}

// AddUint adds an option with a number as its value, encoded in as few bytes as possible (RFC 7252, 3.2).
func AddUint(options message.Options, id message.OptionID, value uint32) message.Options {
	var encoded []byte
	for shift := 24; shift >= 0; shift -= 8 {
		b := byte(value >> shift)
		if len(encoded) > 0 || b != 0 {
			encoded = append(encoded, b)
		}
	}
	return options.Add(message.Option{ID: id, Value: encoded})
}
