// Package wire converts CoAP messages (RFC 7252) to and from datagrams with the codec of plgd-dev/go-coap. It is pure.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// The message types (RFC 7252, 3), with the short names of the RFC.
const (
	Con = message.Confirmable
	Non = message.NonConfirmable
	Ack = message.Acknowledgement
	Rst = message.Reset
)

// The classes of codes (RFC 7252, 3): the first digit, for example 2 in 2.05.
const (
	ClassRequest = 0 // methods, and with detail 0 the empty message
	ClassSuccess = 2
)

const (
	// headerLength is the length of the fixed part of a message in bytes.
	headerLength = 4

	// protocolVersion is the only version of CoAP.
	protocolVersion = 1

	// maxOptions bounds the options of a message. A request has about ten.
	maxOptions = 64
)

// ErrMalformed is returned for a datagram that is not a CoAP message of version 1.
var ErrMalformed = errors.New("not a CoAP message of version 1")

// Header is the fixed part of a message, which can be read even if the rest is malformed.
type Header struct {
	Type message.Type
	Code codes.Code
	ID   uint16
}

// ParseHeader reads the fixed part of a message. The error is ErrMalformed.
func ParseHeader(datagram []byte) (Header, error) {
	if len(datagram) < headerLength || datagram[0]>>6 != protocolVersion {
		return Header{}, ErrMalformed
	}
	return Header{
		Type: TypeOf(datagram),
		Code: codes.Code(datagram[1]),
		ID:   binary.BigEndian.Uint16(datagram[2:]),
	}, nil
}

// TypeOf returns the message type of a datagram that contains a message.
func TypeOf(datagram []byte) message.Type { return message.Type(datagram[0] >> 4 & 3) }

// Class returns the class of a code.
func Class(code codes.Code) int { return int(code >> 5) }

// Detail returns the detail of a code, for example 5 in 2.05.
func Detail(code codes.Code) int { return int(code & 31) }

// Decode decodes a datagram. The message refers to the bytes of the datagram. The error wraps ErrMalformed.
func Decode(datagram []byte) (message.Message, error) {
	if _, err := ParseHeader(datagram); err != nil {
		return message.Message{}, err
	}
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(datagram, &m); err != nil {
		return message.Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, nil
}

// Encode encodes a message as a datagram.
func Encode(m message.Message) ([]byte, error) {
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	datagram := make([]byte, size)
	n, err := coder.DefaultCoder.Encode(m, datagram)
	return datagram[:n], err
}

// Empty returns the datagram of an empty message: an acknowledgement, a reset, or a ping.
func Empty(t message.Type, id uint16) []byte {
	return []byte{protocolVersion<<6 | byte(t)<<4, 0, byte(id >> 8), byte(id)}
}
