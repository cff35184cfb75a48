// Package client is a small CoAP client, for operators who try things and for tests: confirmable requests with the
// standard's retransmission, separate answers, block-wise transfers and the Echo option.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
)

// Options are how a client behaves.
type Options struct {
	AckTimeout     time.Duration // 0: the standard's 2 s
	MaxRetransmit  int           // 0: the standard's 4
	SZX            uint8         // size of blocks; 0 with NoSZX unset means 1,024 bytes
	Duplicates     int           // every message is sent so many times more, at once
	NonConfirmable bool          // non-confirmable
}

// Client speaks to one server over one socket.
type Client struct {
	conn     net.PacketConn
	to       net.Addr
	o        Options
	id       uint16
	tok      uint64
	echo     []byte
	Received int // datagrams received
}

// New makes a client on a socket.
func New(conn net.PacketConn, to net.Addr, o Options) *Client {
	if o.AckTimeout == 0 {
		o.AckTimeout = 2 * time.Second
	}
	if o.MaxRetransmit == 0 {
		o.MaxRetransmit = 4
	}
	if o.SZX == 0 || o.SZX > blocks.MaxSZX {
		o.SZX = blocks.MaxSZX
	}
	return &Client{conn: conn, to: to, o: o, id: uint16(rand.Uint32()), tok: rand.Uint64()}
}

// Request is what to ask.
type Request struct {
	Code  codes.Code
	Path  string
	Query []string
	Body  []byte
}

// Response is the whole answer.
type Response struct {
	Code   codes.Code
	Body   []byte
	MaxAge uint32 // seconds; 0: not told
}

// ErrNoAnswer says that nothing came in all the time.
var ErrNoAnswer = errors.New("no answer")

// Do asks and fetches the whole answer.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var out Response
	m, err := c.send(ctx, r)
	if err != nil {
		return out, err
	}
	if v, ok := wire.Uint(m, message.MaxAge); ok {
		out.MaxAge = v
	}
	out.Code, out.Body = m.Code, bytes.Clone(m.Payload)
	for b, there, err := wire.Block(m, message.Block2); there && b.More; b, there, err = wire.Block(m, message.Block2) {
		if err != nil {
			return out, err
		}
		next := blocks.Block{Num: b.Num + 1, SZX: b.SZX}
		if m, err = c.exchange(ctx, c.message(r, nil, nil, &next)); err != nil {
			return out, err
		}
		if m.Code != out.Code {
			return Response{Code: m.Code}, nil
		}
		out.Body = append(out.Body, m.Payload...)
	}
	return out, nil
}

// send sends the request, in blocks where its body is long, and again where an Echo is asked for.
func (c *Client) send(ctx context.Context, r Request) (*message.Message, error) {
	for range 3 {
		m, err := c.body(ctx, r)
		if err != nil {
			return nil, err
		}
		value, there := wire.Bytes(m, message.Echo)
		if there {
			c.echo = bytes.Clone(value)
		}
		if m.Code != codes.Unauthorized || !there {
			return m, nil
		}
	}
	return nil, errors.New("asked for an Echo again and again")
}

func (c *Client) body(ctx context.Context, r Request) (*message.Message, error) {
	size := 16 << c.o.SZX
	if len(r.Body) <= size {
		return c.exchange(ctx, c.message(r, r.Body, nil, nil))
	}
	for n := uint32(0); ; n++ {
		part, b, ok := blocks.Block{Num: n, SZX: c.o.SZX}.Slice(r.Body)
		if !ok {
			return nil, errors.New("the body has no such block")
		}
		m, err := c.exchange(ctx, c.message(r, part, &b, nil))
		if err != nil || m.Code != codes.Continue || !b.More {
			return m, err
		}
	}
}

// message is one request message.
func (c *Client) message(r Request, body []byte, b1, b2 *blocks.Block) message.Message {
	c.id++
	c.tok++
	token := []byte{byte(c.tok >> 24), byte(c.tok >> 16), byte(c.tok >> 8), byte(c.tok)}
	m := message.Message{Type: wire.Con, Code: r.Code, MessageID: int32(c.id), Token: token, Payload: body}
	if c.o.NonConfirmable {
		m.Type = wire.Non
	}
	for _, p := range strings.Split(strings.Trim(r.Path, "/"), "/") {
		m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(p)})
	}
	for _, q := range r.Query {
		m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(q)})
	}
	if b1 != nil {
		m.Options = wire.AddUint(m.Options, message.Block1, b1.Value())
	}
	if b2 != nil {
		m.Options = wire.AddUint(m.Options, message.Block2, b2.Value())
	}
	if len(c.echo) > 0 {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: c.echo})
	}
	return m
}

// exchange sends one message, as often as the standard says, and waits for its answer.
func (c *Client) exchange(ctx context.Context, m message.Message) (*message.Message, error) {
	b, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(float64(c.o.AckTimeout) * (1 + rand.Float64()/2))
	acked := false
	for try := 0; ; try++ {
		if !acked && (m.Type == wire.Con || try == 0) {
			if err := c.write(b); err != nil {
				return nil, err
			}
		}
		got, ok, err := c.await(ctx, &m, time.Now().Add(wait), &acked)
		if err != nil || ok {
			return got, err
		}
		if try >= c.o.MaxRetransmit {
			return nil, ErrNoAnswer
		}
		wait *= 2
	}
}

func (c *Client) write(b []byte) error {
	for range c.o.Duplicates + 1 {
		if _, err := c.conn.WriteTo(b, c.to); err != nil {
			return err
		}
	}
	return nil
}

// await reads until the answer to a message comes, or the time is over.
func (c *Client) await(ctx context.Context, m *message.Message, until time.Time, acked *bool) (*message.Message, bool, error) {
	buf := make([]byte, 64<<10)
	for {
		if d, ok := ctx.Deadline(); ok && d.Before(until) {
			until = d
		}
		_ = c.conn.SetReadDeadline(until)
		n, _, err := c.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil, false, ctx.Err()
		}
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				return nil, false, nil
			}
			return nil, false, err
		}
		c.Received++
		got, err := wire.Decode(bytes.Clone(buf[:n]))
		if err != nil {
			continue
		}
		switch {
		case got.Type == wire.Rst && got.MessageID == m.MessageID:
			return nil, false, fmt.Errorf("reset")
		case got.Code == codes.Empty && got.Type == wire.Ack && got.MessageID == m.MessageID:
			*acked = true
		case got.Code != codes.Empty && bytes.Equal(got.Token, m.Token):
			if got.Type == wire.Con {
				_ = c.write(wire.Empty(wire.Ack, uint16(got.MessageID)))
			}
			return &got, true, nil
		case got.Type == wire.Con: // of an exchange that is over
			_ = c.write(wire.Empty(wire.Rst, uint16(got.MessageID)))
		}
	}
}
