// Package client is a small CoAP client for the command tackhub coap and for tests. It sends confirmable requests with
// the standard's retransmission, and supports separate responses, block-wise transfers and the Echo option.
package client

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
)

// The standard's transmission parameters (RFC 7252, 4.8).
const (
	defaultAckTimeout    = 2 * time.Second
	defaultMaxRetransmit = 4
)

const (
	// maxEchoAttempts is the maximum number of times that a request is sent if the server answers with Echo challenges.
	maxEchoAttempts = 3

	// tokenLength is the length of a token in bytes.
	tokenLength = 4
)

// ErrNoAnswer is returned if no transmission of a message gets a response.
var ErrNoAnswer = errors.New("no response to any transmission")

// Options configures a Client. The zero value selects the standard's behaviour.
type Options struct {
	AckTimeout     time.Duration // before the first retransmission, without jitter; 0 means the standard's 2 s
	MaxRetransmit  int           // 0 means the standard's 4
	SZX            uint8         // size exponent of the blocks of uploads; 0 means the largest, for 1,024 bytes
	Duplicates     int           // number of additional copies of each message, sent immediately
	NonConfirmable bool          // send non-confirmable requests, once each
}

// Client sends requests to one server over one socket. It is not safe for concurrent use.
type Client struct {
	Received int // number of datagrams received

	conn      net.PacketConn
	server    net.Addr
	options   Options
	messageID uint16
	token     uint64
	echo      []byte // the value of the server's latest Echo challenge
}

// New returns a client that uses a socket.
func New(conn net.PacketConn, server net.Addr, o Options) *Client {
	if o.AckTimeout == 0 {
		o.AckTimeout = defaultAckTimeout
	}
	if o.MaxRetransmit == 0 {
		o.MaxRetransmit = defaultMaxRetransmit
	}
	if o.SZX == 0 || o.SZX > blocks.MaxSZX {
		o.SZX = blocks.MaxSZX
	}
	return &Client{conn: conn, server: server, options: o, messageID: uint16(rand.Uint32()), token: rand.Uint64()}
}

// Request is a request to a server.
type Request struct {
	Code  codes.Code // the method
	Path  string
	Query []string
	Body  []byte
}

// Response is a complete response.
type Response struct {
	Code   codes.Code
	Body   []byte
	MaxAge uint32 // seconds; 0 if absent
}

// Do sends a request and returns the response with its complete body. The error is ErrNoAnswer after the last
// retransmission, the context's error, that of the socket, or one of package blocks if the blocks of the response do
// not form a complete body.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var response Response
	m, err := c.sendWithEcho(ctx, r)
	if err != nil {
		return response, err
	}
	if maxAge, ok := wire.Uint(m, message.MaxAge); ok {
		response.MaxAge = maxAge
	}
	response.Code = m.Code
	var download blocks.Download
	for {
		block, present, err := wire.Block(m, message.Block2)
		if err != nil {
			return response, err
		}
		etag, _ := wire.Bytes(m, message.ETag)
		if err := download.CheckVersion(etag); err != nil {
			return response, err
		}
		if err := download.Add(block, present, m.Payload); err != nil {
			return response, err
		}
		next, more := download.Next()
		if !more {
			response.Body = download.Body()
			return response, nil
		}
		m, err = c.exchange(ctx, c.newMessage(r, nil, nil, &next))
		if err != nil {
			return response, err
		}
		if m.Code != response.Code {
			return Response{Code: m.Code}, nil
		}
	}
}

// sendWithEcho sends a request, and sends it again with the Echo value if the server responds with a challenge.
func (c *Client) sendWithEcho(ctx context.Context, r Request) (*message.Message, error) {
	for range maxEchoAttempts {
		m, err := c.send(ctx, r)
		if err != nil {
			return nil, err
		}
		value, challenged := wire.Bytes(m, message.Echo)
		if challenged {
			c.echo = bytes.Clone(value)
		}
		if m.Code != codes.Unauthorized || !challenged {
			return m, nil
		}
	}
	return nil, errors.New("the server answered every attempt with an Echo challenge")
}

// send sends a request, in blocks if its body is long.
func (c *Client) send(ctx context.Context, r Request) (*message.Message, error) {
	if len(r.Body) <= (blocks.Block{SZX: c.options.SZX}).Size() {
		return c.exchange(ctx, c.newMessage(r, r.Body, nil, nil))
	}
	for number := uint32(0); ; number++ {
		part, block, ok := blocks.Block{Num: number, SZX: c.options.SZX}.Slice(r.Body)
		if !ok {
			return nil, errors.New("the block starts beyond the end of the body")
		}
		m, err := c.exchange(ctx, c.newMessage(r, part, &block, nil))
		if err != nil || m.Code != codes.Continue || !block.More {
			return m, err
		}
	}
}

// newMessage builds a message for a request, with a payload and with the block options that are not nil.
func (c *Client) newMessage(r Request, payload []byte, block1, block2 *blocks.Block) message.Message {
	c.messageID++
	c.token++
	m := message.Message{
		Type:      wire.Con,
		Code:      r.Code,
		MessageID: int32(c.messageID),
		Token:     binary.BigEndian.AppendUint64(nil, c.token)[8-tokenLength:],
		Payload:   payload,
	}
	if c.options.NonConfirmable {
		m.Type = wire.Non
	}
	for _, segment := range strings.Split(strings.Trim(r.Path, "/"), "/") {
		m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(segment)})
	}
	for _, query := range r.Query {
		m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(query)})
	}
	if block1 != nil {
		m.Options = wire.AddUint(m.Options, message.Block1, block1.Value())
	}
	if block2 != nil {
		m.Options = wire.AddUint(m.Options, message.Block2, block2.Value())
	}
	if len(c.echo) > 0 {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: c.echo})
	}
	return m
}
