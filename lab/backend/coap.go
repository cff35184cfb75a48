package backend

import (
	"bytes"
	"net"
	"strconv"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/wire"
)

// effectivelyUnlimited exceeds what any run needs, so that a simulated server never rejects a request for lack of memory.
const effectivelyUnlimited = 1 << 20

// coapServer is the CoAP endpoint that a simulated server provides for one node. It detects retransmitted messages and
// assembles block-wise uploads.
type coapServer struct {
	server     *Server
	node       int
	conn       net.PacketConn
	duplicates *dedup.Table
	uploads    *blocks.Store
}

// usesCoap reports whether a server is listed with the scheme coap://. Of every ten servers, the first Fleet.Coap*10 are.
func (f *Fleet) usesCoap(server int) bool {
	return float64(server%10) < f.scenario.Fleet.Coap*10
}

// listenCoap opens a UDP socket on the address of the TCP listener. The caller holds s.mu.
func (s *Server) listenCoap(node int) error {
	if !s.fleet.usesCoap(s.index) {
		return nil
	}
	conn, err := net.ListenPacket("udp", s.addrs[node])
	if err != nil {
		return err
	}
	if l := s.fleet.links[s.index][node]; l != nil {
		conn = l.WrapPacket(conn)
	}
	s.packets = append(s.packets, conn)
	b := &coapServer{
		server: s,
		node:   node,
		conn:   conn,
		duplicates: dedup.New(dedup.Limits{
			MaxEntries:     effectivelyUnlimited,
			MaxBytes:       effectivelyUnlimited << 8,
			MaxPerEndpoint: effectivelyUnlimited,
		}),
		uploads: blocks.New(blocks.Limits{
			MaxTransfers:   effectivelyUnlimited,
			MaxPerEndpoint: effectivelyUnlimited,
			MaxBytes:       effectivelyUnlimited << 6,
			MaxBodyBytes:   64 << 10,
			IdleTimeout:    time.Minute,
		}),
	}
	go b.run()
	return nil
}

// run reads datagrams until the socket is closed. Only this goroutine accesses duplicates and uploads; each request is
// executed in a separate goroutine.
func (b *coapServer) run() {
	type answer struct {
		key  dedup.Key
		data []byte
		to   net.Addr
	}
	buf := make([]byte, 64<<10)
	answers := make(chan answer, 4096)
	for {
		n, from, err := b.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		for len(answers) > 0 {
			a := <-answers
			b.duplicates.Complete(b.now(), a.key, a.data, dedup.KeepResponse)
		}
		msg, err := wire.Decode(bytes.Clone(buf[:n]))
		if err != nil || msg.Type != wire.Con {
			continue
		}
		key := dedup.Key{Endpoint: from.String(), ID: uint16(msg.MessageID)}
		if msg.Code == codes.Empty {
			_, _ = b.conn.WriteTo(wire.Empty(wire.Rst, key.ID), from)
			continue
		}
		received := dedup.Message{Key: key, Confirmable: true, Fingerprint: dedup.Fingerprint(buf[:n])}
		verdict, stored, _ := b.duplicates.Receive(b.now(), received)
		switch {
		case verdict == dedup.Replay:
			_, _ = b.conn.WriteTo(stored, from)
		case verdict == dedup.Fresh:
			body, interim := b.assembleBody(&msg, from)
			if interim != nil {
				b.duplicates.Complete(b.now(), key, interim, dedup.KeepResponse)
				_, _ = b.conn.WriteTo(interim, from)
				continue
			}
			receivedAt := time.Now()
			go func() {
				data := b.serve(&msg, body, receivedAt)
				if data == nil { // the process ended before it could respond
					return
				}
				_, _ = b.conn.WriteTo(data, from)
				answers <- answer{key, data, from}
			}()
		}
	}
}

// assembleBody adds a message's block to its upload. It returns the body if it is complete. Otherwise it returns the
// encoded response to this block.
func (b *coapServer) assembleBody(msg *message.Message, from net.Addr) (complete, interim []byte) {
	block, present, err := wire.Block(msg, message.Block1)
	if !present || err != nil {
		return msg.Payload, nil
	}
	id, _ := wire.Bytes(msg, back.OptRequestID)
	upload := blocks.Key{Endpoint: from.String(), Resource: dedup.Fingerprint(id)}
	verdict, body := b.uploads.Add(b.now(), upload, block, msg.Payload)
	code := codes.RequestEntityIncomplete
	switch verdict {
	case blocks.Complete:
		return body, nil
	case blocks.Continue:
		code = codes.Continue
	}
	out, _ := wire.Encode(message.Message{Type: wire.Ack, Code: code, MessageID: msg.MessageID, Token: msg.Token,
		Options: wire.AddUint(nil, message.Block1, block.Value())})
	return nil, out
}

// fieldOfOption maps CoAP options to the HTTP header fields that they correspond to.
var fieldOfOption = map[message.OptionID]string{
	back.OptRequestID:      "X-Request-Id",
	back.OptIdempotencyKey: "Idempotency-Key",
	back.OptClass:          "X-Class",
}

// now returns the time since the start of the run.
func (b *coapServer) now() time.Duration { return time.Since(b.server.fleet.start) }

// serve executes a request and returns the encoded response, or nil if the process ended before it could respond.
func (b *coapServer) serve(msg *message.Message, body []byte, receivedAt time.Time) []byte {
	var req fasthttp.Request
	uri := ""
	for _, p := range wire.Strings(msg, message.URIPath) {
		uri += "/" + p
	}
	for i, q := range wire.Strings(msg, message.URIQuery) {
		uri += map[bool]string{true: "?", false: "&"}[i == 0] + q
	}
	req.SetRequestURI(uri)
	for id, name := range fieldOfOption {
		if v, ok := wire.Bytes(msg, id); ok {
			req.Header.SetBytesV(name, v)
		}
	}
	req.SetBody(body)
	res := b.server.execute(&req, b.node, false, receivedAt)
	out := message.Message{Type: wire.Ack, Code: codes.Content, MessageID: msg.MessageID, Token: msg.Token}
	switch {
	case res.died:
		return nil
	case res.status == fasthttp.StatusOK:
		out.Payload = []byte("id=" + attemptID(&req) + "&server=" + b.server.name() + bodyTail)
	case res.status == fasthttp.StatusServiceUnavailable:
		out.Code = codes.ServiceUnavailable
	case res.status == fasthttp.StatusNotFound:
		out.Code = codes.NotFound
	default:
		out.Code = codes.InternalServerError
	}
	if report := b.server.report(); report != "" {
		out.Options = out.Options.Add(message.Option{ID: back.OptLoad, Value: []byte(report)})
	}
	data, err := wire.Encode(out)
	if err != nil {
		return []byte(strconv.Itoa(res.status)) // not a valid CoAP message: an encoding error of the lab appears as a lost response
	}
	return data
}
