package wire

import (
	"bytes"
	"errors"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/blocks"
)

func TestParseHeader(t *testing.T) {
	for name, c := range map[string]struct {
		datagram []byte
		want     Header
		fails    bool
	}{
		"confirmable GET":       {[]byte{0x41, 0x01, 0x12, 0x34, 0x07}, Header{Type: Con, Code: codes.GET, ID: 0x1234}, false},
		"reset":                 {[]byte{0x70, 0x00, 0x00, 0x09}, Header{Type: Rst, Code: codes.Empty, ID: 9}, false},
		"options unreadable":    {[]byte{0x4f, 0x45, 0xff, 0xff}, Header{Type: Con, Code: codes.Content, ID: 0xffff}, false},
		"too short":             {[]byte{0x40, 0x01, 0x00}, Header{}, true},
		"of another version":    {[]byte{0x80, 0x01, 0x00, 0x01}, Header{}, true},
		"no version (all zero)": {[]byte{0x00, 0x01, 0x00, 0x01}, Header{}, true},
	} {
		got, err := ParseHeader(c.datagram)
		if got != c.want || errors.Is(err, ErrMalformed) != c.fails {
			t.Errorf("%s: ParseHeader() = %+v, %v; want %+v, ErrMalformed: %v", name, got, err, c.want, c.fails)
		}
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	m := message.Message{Type: Con, Code: codes.POST, MessageID: 77, Token: []byte("tok"), Payload: []byte("body")}
	m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte("a")})
	m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte("b")})
	m.Options = AddUint(m.Options, message.Block1, blocks.Block{Num: 5, More: true, SZX: 2}.Value())
	datagram, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	if got.Type != Con || got.Code != codes.POST || got.MessageID != 77 || string(got.Token) != "tok" || string(got.Payload) != "body" {
		t.Errorf("got %+v, want the encoded message", got)
	}
	if path := Strings(&got, message.URIPath); len(path) != 2 || path[0] != "a" || path[1] != "b" {
		t.Errorf("path = %q, want a, b", path)
	}
	if block, present, err := Block(&got, message.Block1); !present || err != nil || block != (blocks.Block{Num: 5, More: true, SZX: 2}) {
		t.Errorf("Block1 = %+v, %v, %v; want number 5, more, size exponent 2", block, present, err)
	}
	if _, present, err := Block(&got, message.Block2); present || err != nil {
		t.Errorf("Block2, which is absent: present = %v, error = %v; want false, nil", present, err)
	}
	if TypeOf(datagram) != Con || Class(got.Code) != ClassRequest || Detail(got.Code) != 2 {
		t.Errorf("got type %v, code %d.%02d; want confirmable, 0.02", TypeOf(datagram), Class(got.Code), Detail(got.Code))
	}
	if _, err := Decode(datagram[:5]); !errors.Is(err, ErrMalformed) {
		t.Errorf("truncated datagram: error = %v, want ErrMalformed", err)
	}
}

func TestAddUintUsesShortestEncoding(t *testing.T) {
	for value, encoded := range map[uint32][]byte{
		0:          nil,
		7:          {7},
		256:        {1, 0},
		0x010000:   {1, 0, 0},
		0xffffffff: {255, 255, 255, 255},
	} {
		m := message.Message{Options: AddUint(nil, message.MaxAge, value)}
		raw, present := Bytes(&m, message.MaxAge)
		if !present || !bytes.Equal(raw, encoded) {
			t.Errorf("%d is encoded as %x, want %x", value, raw, encoded)
		}
		if got, ok := Uint(&m, message.MaxAge); !ok || got != value {
			t.Errorf("Uint() of encoded %d = %d, %v", value, got, ok)
		}
	}
	long := message.Message{Options: message.Options{}.Add(message.Option{ID: message.MaxAge, Value: make([]byte, 5)})}
	if _, ok := Uint(&long, message.MaxAge); ok {
		t.Error("Uint() of a value of five bytes: ok = true, want false")
	}
}

func TestEmptyReturnsHeaderOnlyDatagram(t *testing.T) {
	for messageType, want := range map[message.Type][]byte{
		Con: {0x40, 0, 0x12, 0x34},
		Ack: {0x60, 0, 0x12, 0x34},
		Rst: {0x70, 0, 0x12, 0x34},
	} {
		if got := Empty(messageType, 0x1234); !bytes.Equal(got, want) {
			t.Errorf("Empty() of type %v = %x, want %x", messageType, got, want)
		}
	}
}
