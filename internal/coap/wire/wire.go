// Package wire puts CoAP messages (RFC 7252) into datagrams and takes them out, by plgd-dev/go-coap's codec, and reads the
// options that the front needs. It is pure.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"tackhub.example/tackhub/internal/coap/blocks"
)

// The message types.
const (
	Con = message.Confirmable
	Non = message.NonConfirmable
	Ack = message.Acknowledgement
	Rst = message.Reset
)

// maxOptions bounds a message's options: a request has some ten.
const maxOptions = 64

// ErrNoCoAP says that a datagram is no CoAP message of version 1.
var ErrMalformed = errors.New("no CoAP message")

// Head is the fixed part of a datagram, which is there even where the rest cannot be read.
type Header struct {
	Type message.Type
	Code codes.Code
	ID   uint16
}

// ReadHead reads the fixed part.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < 4 || b[0]>>6 != 1 {
		return Header{}, ErrMalformed
	}
	return Header{Type: message.Type(b[0] >> 4 & 3), Code: codes.Code(b[1]), ID: binary.BigEndian.Uint16(b[2:])}, nil
}

// Decode reads a datagram.
func Decode(b []byte) (message.Message, error) {
	if _, err := ParseHeader(b); err != nil {
		return message.Message{}, err
	}
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, &m); err != nil {
		return message.Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, nil
}

// Encode writes a message.
func Encode(m message.Message) ([]byte, error) {
	n, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	n, err = coder.DefaultCoder.Encode(m, b)
	return b[:n], err
}

// Empty is an acknowledgement or a reset.
func Empty(t message.Type, id uint16) []byte {
	return []byte{1<<6 | byte(t)<<4, 0, byte(id >> 8), byte(id)}
}

// Uint gives an option's value as a number; false where it is not there or too long.
func Uint(m *message.Message, id message.OptionID) (uint32, bool) {
	for _, o := range m.Options {
		if o.ID != id || len(o.Value) > 4 {
			continue
		}
		v := uint32(0)
		for _, c := range o.Value {
			v = v<<8 | uint32(c)
		}
		return v, true
	}
	return 0, false
}

// Bytes gives an option's value.
func Bytes(m *message.Message, id message.OptionID) ([]byte, bool) {
	for _, o := range m.Options {
		if o.ID == id {
			return o.Value, true
		}
	}
	return nil, false
}

// Texts are an option's values in order.
func Strings(m *message.Message, id message.OptionID) []string {
	var out []string
	for _, o := range m.Options {
		if o.ID == id {
			out = append(out, string(o.Value))
		}
	}
	return out
}

// Block gives a Block1 or Block2 option.
func Block(m *message.Message, id message.OptionID) (b blocks.Block, there bool, err error) {
	v, ok := Uint(m, id)
	if !ok {
		return b, false, nil
	}
	b, err = blocks.Parse(v)
	return b, true, err
}

// Add adds an option with a number, in as few bytes as hold it (RFC 7252, 3.2).
func AddUint(o message.Options, id message.OptionID, v uint32) message.Options {
	var b []byte
	for n := 3; n >= 0; n-- {
		if c := byte(v >> (8 * n)); len(b) > 0 || c != 0 {
			b = append(b, c)
		}
	}
	return o.Add(message.Option{ID: id, Value: b})
}
