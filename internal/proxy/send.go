package proxy

import (
	"math"
	"strconv"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// outgoing is a request as it goes on: the bytes that came, but for what holds for one connection only and the
// time left. It is a copy, since an attempt may outlive the exchange.
type outgoing struct {
	head    []byte // request line and fields, without the closing line
	body    []byte
	large   engine.RequestBody // follows head in place of body
	expires balancer.Millis
}

// hop are the fields that hold for one connection only, or that are written anew.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	headDeadline: true}

func newOutgoing(t *taken, expires balancer.Millis) outgoing {
	head := make([]byte, 0, 512)
	head = append(head, t.method...)
	head = append(head, ' ')
	head = append(head, t.uri...)
	head = append(head, " HTTP/1.1\r\n"...)
	for name, value := range t.header.All() {
		if hop[string(name)] {
			continue
		}
		head = append(append(append(append(head, name...), ": "...), value...), "\r\n"...)
	}
	if t.hasBody() || t.method == "POST" {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), t.size(), 10), "\r\n"...)
	}
	return outgoing{head: head, body: append([]byte(nil), t.body...), large: t.large, expires: expires}
}

// bytes are one copy, telling the server how long the node will wait.
func (o outgoing) bytes(wait balancer.Millis) []byte {
	out := make([]byte, 0, len(o.head)+len(o.body)+32)
	out = append(append(out, o.head...), headDeadline+": "...)
	out = strconv.AppendInt(out, max(1, int64(wait)), 10)
	return append(append(out, "\r\n\r\n"...), o.body...)
}

// Send starts an attempt; the engine calls it for each of the module's sends.
func (r *request) StartAttempt(server balancer.ServerID, wait, wholeBy balancer.Millis, done func(engine.Completion)) engine.Attempt {
	if math.IsInf(wait, 1) { // it will wait so long once the body has come
		wait = r.wait
	}
	relayed := &r.desk.o.Count.Operations.For(r.class.Name).Relayed
	c := engine.OutgoingRequest{Bytes: r.wire.bytes(wait), Body: r.wire.large, OnWritten: relayed.Inc, ClientWaiting: r.wanted}
	if wholeBy > 0 {
		c.WriteDeadline = time.Now().Add(clock.Span(wholeBy - r.desk.o.Clock.Now()))
	}
	return r.desk.o.Send(server, c, done)
}

// wanted tells whether the client is still there. That it has gone reaches the engine behind whatever else has come: hundreds
// may leave in one moment, and meanwhile a connection comes up or a try ends.
func (r *request) wanted() bool { return !r.client.Disconnected() }
