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

// practicallyUnlimited is more than any run needs: a stand-in server must not reject for want of memory.
const practicallyUnlimited = 1 << 20

// coapServer is a stand-in server's CoAP side for one node. It recognizes duplicate messages and assembles block-wise
// uploads.
type coapServer struct {
	server     *Server
	node       int
	conn       net.PacketConn
	duplicates *dedup.Table
	uploads    *blocks.Store
}

// speaksCoap reports whether a server is listed by the scheme coap://.
func (f *Fleet) speaksCoap(server int) bool {
	return float64(server%10) < f.scenario.Fleet.Coap*10
}

// listenCoap opens the datagram socket at the address of the TCP listener. The caller holds the lock.
func (s *Server) listenCoap(node int) error {
	if !s.fleet.speaksCoap(s.index) {
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
			MaxEntries:     practicallyUnlimited,
			MaxBytes:       practicallyUnlimited << 8,
			MaxPerEndpoint: practicallyUnlimited,
		}),
		uploads: blocks.New(blocks.Limits{
			MaxTransfers:   practicallyUnlimited,
			MaxPerEndpoint: practicallyUnlimited,
			MaxBytes:       practicallyUnlimited << 6,
			MaxBodyBytes:   64 << 10,
			IdleTimeout:    time.Minute,
		}),
	}
	go b.run()
	return nil
}

// run reads datagrams. Duplicates and blocks belong to this goroutine; each request is executed by one of its own.
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
			b.duplicates.Complete(a.key, a.data, false)
		}
		m, err := wire.Decode(bytes.Clone(buf[:n]))
		if err != nil || m.Type != wire.Con {
			continue
		}
		key := dedup.Key{Endpoint: from.String(), ID: uint16(m.MessageID)}
		if m.Code == codes.Empty {
			_, _ = b.conn.WriteTo(wire.Empty(wire.Rst, key.ID), from)
			continue
		}
		received := dedup.Message{Key: key, Confirmable: true, Fingerprint: dedup.Fingerprint(buf[:n])}
		v, stored, _ := b.duplicates.Receive(b.now(), received)
		switch {
		case v == dedup.Replay:
			_, _ = b.conn.WriteTo(stored, from)
		case v == dedup.Fresh:
			whole, more := b.assembleBody(&m, from)
			if more != nil {
				b.duplicates.Complete(key, more, false)
				_, _ = b.conn.WriteTo(more, from)
				continue
			}
			first := time.Now()
			go func() {
				data := b.serve(&m, whole, first)
				if data == nil { // the process died with it
					return
				}
				_, _ = b.conn.WriteTo(data, from)
				answers <- answer{key, data, from}
			}()
		}
	}
}

// assembleBody assembles an upload. more is the response to a block before the last; it is nil once the body is whole.
func (b *coapServer) assembleBody(m *message.Message, from net.Addr) (whole, more []byte) {
	block, there, err := wire.Block(m, message.Block1)
	if !there || err != nil {
		return m.Payload, nil
	}
	id, _ := wire.Bytes(m, back.OptRequestID)
	upload := blocks.Key{Endpoint: from.String(), Resource: dedup.Fingerprint(id)}
	v, body := b.uploads.Add(b.now(), upload, block, m.Payload)
	code := codes.RequestEntityIncomplete
	switch v {
	case blocks.Complete:
		return body, nil
	case blocks.Continue:
		code = codes.Continue
	}
	out, _ := wire.Encode(message.Message{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token,
		Options: wire.AddUint(nil, message.Block1, block.Value())})
	return nil, out
}

// fieldOfOption are the options that carry an HTTP field.
var fieldOfOption = map[message.OptionID]string{
	back.OptRequestID:      "X-Request-Id",
	back.OptIdempotencyKey: "Idempotency-Key",
	back.OptClass:          "X-Class",
}

// now is the time since the run's start.
func (b *coapServer) now() time.Duration { return time.Since(b.server.fleet.start) }

// serve executes a request and returns the response's datagram; nil where the process died with it.
func (b *coapServer) serve(m *message.Message, body []byte, first time.Time) []byte {
	var req fasthttp.Request
	uri := ""
	for _, p := range wire.Strings(m, message.URIPath) {
		uri += "/" + p
	}
	for i, q := range wire.Strings(m, message.URIQuery) {
		uri += map[bool]string{true: "?", false: "&"}[i == 0] + q
	}
	req.SetRequestURI(uri)
	for id, name := range fieldOfOption {
		if v, ok := wire.Bytes(m, id); ok {
			req.Header.SetBytesV(name, v)
		}
	}
	req.SetBody(body)
	a := b.server.execute(&req, b.node, false, first)
	out := message.Message{Type: wire.Ack, Code: codes.Content, MessageID: m.MessageID, Token: m.Token}
	switch {
	case a.died:
		return nil
	case a.status == fasthttp.StatusOK:
		out.Payload = []byte("id=" + attemptID(&req) + "&server=" + b.server.name() + bodyTail)
	case a.status == fasthttp.StatusServiceUnavailable:
		out.Code = codes.ServiceUnavailable
	case a.status == fasthttp.StatusNotFound:
		out.Code = codes.NotFound
	default:
		out.Code = codes.InternalServerError
	}
	if report := b.server.report(); report != "" {
		out.Options = out.Options.Add(message.Option{ID: back.OptLoad, Value: []byte(report)})
	}
	data, err := wire.Encode(out)
	if err != nil {
		return []byte(strconv.Itoa(a.status)) // never a CoAP message: the lab's own fault shows as a lost answer
	}
	return data
}
