package kit2

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The CoAP codes and options that the cases use (RFC 7252, RFC 7959).
const (
	CodeGet      = 0x01
	CodePost     = 0x02
	CodeChanged  = 0x44 // 2.04
	CodeContent  = 0x45 // 2.05
	CodeContinue = 0x5f // 2.31
	CodeNotFound = 0x84 // 4.04

	OptETag      = 4
	OptURIPath   = 11
	OptURIQuery  = 15
	OptBlock2    = 23
	OptBlock1    = 27
	OptRequestID = 65002 // of the project's page on CoAP servers
)

// Option is an option of a message.
type Option struct {
	ID    int
	Value []byte
}

// Message is a CoAP message.
type Message struct {
	Type    byte // 0 confirmable, 1 not, 2 acknowledgement, 3 reset
	Code    byte
	ID      uint16
	Token   []byte
	Options []Option
	Payload []byte
}

// Decode reads a datagram; false if it is no CoAP message.
func Decode(b []byte) (m Message, ok bool) {
	if len(b) < 4 || b[0]>>6 != 1 {
		return m, false
	}
	tokenLength := int(b[0] & 15)
	m = Message{Type: b[0] >> 4 & 3, Code: b[1], ID: binary.BigEndian.Uint16(b[2:])}
	b = b[4:]
	if len(b) < tokenLength {
		return m, false
	}
	m.Token, b = b[:tokenLength], b[tokenLength:]
	extended := func(n int) (int, bool) {
		switch {
		case n == 13 && len(b) >= 1:
			n = int(b[0]) + 13
			b = b[1:]
		case n == 14 && len(b) >= 2:
			n = int(binary.BigEndian.Uint16(b)) + 269
			b = b[2:]
		case n >= 13:
			return 0, false
		}
		return n, true
	}
	for id := 0; len(b) > 0; {
		if b[0] == 0xff {
			m.Payload = b[1:]
			return m, true
		}
		first := b[0]
		b = b[1:]
		delta, ok1 := extended(int(first >> 4))
		length, ok2 := extended(int(first & 15))
		if !ok1 || !ok2 || len(b) < length {
			return m, false
		}
		id += delta
		m.Options = append(m.Options, Option{id, b[:length]})
		b = b[length:]
	}
	return m, true
}

// Encode writes a message; its options must be in order.
func (m Message) Encode() []byte {
	out := []byte{1<<6 | m.Type<<4 | byte(len(m.Token)), m.Code, byte(m.ID >> 8), byte(m.ID)}
	out = append(out, m.Token...)
	last := 0
	nibble := func(n int) (byte, []byte) {
		switch {
		case n < 13:
			return byte(n), nil
		case n < 269:
			return 13, []byte{byte(n - 13)}
		}
		return 14, binary.BigEndian.AppendUint16(nil, uint16(n-269))
	}
	for _, o := range m.Options {
		d, dx := nibble(o.ID - last)
		l, lx := nibble(len(o.Value))
		out = append(append(append(append(out, d<<4|l), dx...), lx...), o.Value...)
		last = o.ID
	}
	if len(m.Payload) > 0 {
		out = append(append(out, 0xff), m.Payload...)
	}
	return out
}

// Values are the values of an option, in order.
func (m Message) Values(id int) []string {
	var out []string
	for _, o := range m.Options {
		if o.ID == id {
			out = append(out, string(o.Value))
		}
	}
	return out
}

// Block is a Block1 or Block2 option.
type Block struct {
	Num  int
	More bool
	SZX  int
}

// Size is the size of a block in bytes.
func (b Block) Size() int { return 16 << b.SZX }

// Option returns the block as an option.
func (b Block) Option(id int) Option {
	n := uint32(b.Num<<4 | b.SZX)
	if b.More {
		n |= 8
	}
	raw := binary.BigEndian.AppendUint32(nil, n)
	for len(raw) > 0 && raw[0] == 0 {
		raw = raw[1:]
	}
	return Option{id, raw}
}

// BlockOf reads a block option.
func (m Message) BlockOf(id int) (b Block, present bool) {
	values := m.Values(id)
	if len(values) == 0 {
		return Block{SZX: 6}, false
	}
	n := 0
	for _, c := range []byte(values[0]) {
		n = n<<8 | int(c)
	}
	return Block{Num: n >> 4, More: n&8 != 0, SZX: n & 7}, true
}

// ServeCoap starts a CoAP server: it answers pings, drops repeats of a message id by the stored answer, and calls answer for each
// other confirmable request after the delay. It returns the server's address.
func ServeCoap(delay time.Duration, answer func(Message) Message) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		CannotRun("%v", err)
	}
	go func() {
		var mu sync.Mutex
		stored := map[string][]byte{} // by endpoint and message id; nil: in work
		buf := make([]byte, 64<<10)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			m, ok := Decode(append([]byte(nil), buf[:n]...))
			if !ok || m.Type != 0 {
				continue
			}
			if m.Code == 0 {
				_, _ = conn.WriteTo(Message{Type: 3, ID: m.ID}.Encode(), from)
				continue
			}
			key := fmt.Sprintf("%s %d", from, m.ID)
			mu.Lock()
			data, repeat := stored[key]
			if !repeat {
				stored[key] = nil
			}
			mu.Unlock()
			if repeat {
				if data != nil {
					_, _ = conn.WriteTo(data, from)
				}
				continue
			}
			time.AfterFunc(delay, func() {
				out := answer(m)
				out.Type, out.ID, out.Token = 2, m.ID, m.Token
				data := out.Encode()
				mu.Lock()
				stored[key] = data
				mu.Unlock()
				_, _ = conn.WriteTo(data, from)
			})
		}
	}()
	return conn.LocalAddr().String()
}

// OperatorFile writes an operator file that lists CoAP servers, and returns the argument that names it.
func OperatorFile(addresses []string) string {
	var text strings.Builder
	_, _ = fmt.Fprint(&text, "[inventory]\ndiscovery = true\n")
	for i, a := range addresses {
		_, _ = fmt.Fprintf(&text, "[[inventory.static]]\nid = \"c%d\"\naddress = \"coap://%s\"\nzone = \"a\"\npod = \"p1\"\n", i, a)
	}
	file := filepath.Join(os.Getenv("WORK"), "edge.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		CannotRun("%v", err)
	}
	return " --edge " + file
}
