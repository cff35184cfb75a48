// Package coap writes and reads CoAP messages (RFC 7252), as far as the review's stand-ins need them.
package coap

import (
	"encoding/binary"
	"errors"
	"slices"
)

// Types of messages.
const (
	Con = 0
	Non = 1
	Ack = 2
	Rst = 3
)

// Codes.
const (
	Empty           = 0
	Get             = 1
	Post            = 2
	Changed         = 2<<5 | 4
	Content         = 2<<5 | 5
	Continue        = 2<<5 | 31
	Incomplete      = 4<<5 | 8
	Unauthorized    = 4<<5 | 1
	ServerError     = 5 << 5
	Unavailable     = 5<<5 | 3
	OptionETag      = 4
	OptionPath      = 11
	OptionMaxAge    = 14
	OptionQuery     = 15
	OptionBlock2    = 23
	OptionBlock1    = 27
	OptionEcho      = 252
	OptionRequestID = 65002 // this and the next one: of tackhub's servers, docs/coap.md
	OptionKey       = 65006
)

var errMessage = errors.New("no CoAP message")

// Option is one option.
type Option struct {
	Number int
	Value  []byte
}

// Message is one message.
type Message struct {
	Type    int
	Code    int
	ID      uint16
	Token   []byte
	Options []Option
	Payload []byte
}

// Add adds an option.
func (m *Message) Add(number int, value []byte) {
	m.Options = append(m.Options, Option{number, value})
}

// AddUint adds an option with a number.
func (m *Message) AddUint(number int, value uint32) {
	var b []byte
	for shift := 24; shift >= 0; shift -= 8 {
		if part := byte(value >> shift); part != 0 || len(b) > 0 {
			b = append(b, part)
		}
	}
	m.Add(number, b)
}

// Get returns the first option of a number.
func (m *Message) Get(number int) ([]byte, bool) {
	for _, o := range m.Options {
		if o.Number == number {
			return o.Value, true
		}
	}
	return nil, false
}

// Uint returns the first option of a number as a number.
func (m *Message) Uint(number int) (value uint32, ok bool) {
	b, ok := m.Get(number)
	for _, part := range b {
		value = value<<8 | uint32(part)
	}
	return value, ok
}

// Encode returns the datagram.
func (m *Message) Encode() []byte {
	out := []byte{1<<6 | byte(m.Type)<<4 | byte(len(m.Token)), byte(m.Code)}
	out = binary.BigEndian.AppendUint16(out, m.ID)
	out = append(out, m.Token...)
	options := slices.Clone(m.Options)
	slices.SortStableFunc(options, func(a, b Option) int { return a.Number - b.Number })
	last := 0
	for _, o := range options {
		delta, deltaExtra := nibble(o.Number - last)
		length, lengthExtra := nibble(len(o.Value))
		out = append(out, delta<<4|length)
		out = append(out, deltaExtra...)
		out = append(out, lengthExtra...)
		out = append(out, o.Value...)
		last = o.Number
	}
	if len(m.Payload) > 0 {
		out = append(out, 0xff)
		out = append(out, m.Payload...)
	}
	return out
}

// nibble returns the nibble and the extra bytes of a delta or a length.
func nibble(n int) (byte, []byte) {
	switch {
	case n < 13:
		return byte(n), nil
	case n < 269:
		return 13, []byte{byte(n - 13)}
	}
	return 14, binary.BigEndian.AppendUint16(nil, uint16(n-269))
}

// Decode reads a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) < 4 || b[0]>>6 != 1 {
		return m, errMessage
	}
	tokenLength := int(b[0] & 15)
	m.Type, m.Code, m.ID = int(b[0]>>4&3), int(b[1]), binary.BigEndian.Uint16(b[2:])
	b = b[4:]
	if len(b) < tokenLength {
		return m, errMessage
	}
	m.Token, b = slices.Clone(b[:tokenLength]), b[tokenLength:]
	number := 0
	for len(b) > 0 {
		if b[0] == 0xff {
			m.Payload = slices.Clone(b[1:])
			return m, nil
		}
		delta, length := int(b[0]>>4), int(b[0]&15)
		b = b[1:]
		for _, field := range []*int{&delta, &length} {
			switch {
			case *field == 13 && len(b) >= 1:
				*field, b = int(b[0])+13, b[1:]
			case *field == 14 && len(b) >= 2:
				*field, b = int(binary.BigEndian.Uint16(b))+269, b[2:]
			case *field > 12:
				return m, errMessage
			}
		}
		if len(b) < length {
			return m, errMessage
		}
		number += delta
		m.Add(number, slices.Clone(b[:length]))
		b = b[length:]
	}
	return m, nil
}
