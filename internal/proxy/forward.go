package proxy

import (
	"math"
	"strconv"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// outgoing is a request as it is forwarded: without hop-by-hop fields, and with the time left in place of the client's
// deadline. It shares no memory with the client's connection, since an attempt may outlive the request.
type outgoing struct {
	head              []byte // request line and fields, without the empty line that ends them
	body              []byte
	largeBody         engine.RequestBody // in place of body
	submittedDeadline balancer.Millis
}

// notForwarded are the hop-by-hop fields, and those that are written anew.
var notForwarded = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Expect":            true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	HeaderDeadline:      true,
}

const (
	headCapacity  = 512 // bytes that an ordinary head fits in
	deadlineBytes = 32  // bytes that the deadline field and the end of the head fit in
)

func newOutgoing(in *received, expires balancer.Millis) outgoing {
	head := make([]byte, 0, headCapacity)
	head = append(head, in.method...)
	head = append(head, ' ')
	head = append(head, in.uri...)
	head = append(head, " HTTP/1.1\r\n"...)
	for name, value := range in.header.All() {
		if !notForwarded[string(name)] {
			head = appendField(head, name, value)
		}
	}
	if in.hasBody() || in.method == "POST" {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, in.bodySize(), 10)
		head = append(head, "\r\n"...)
	}
	body := append([]byte(nil), in.body...)
	return outgoing{head: head, body: body, largeBody: in.largeBody, submittedDeadline: expires}
}

func appendField(head, name, value []byte) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// bytes encodes one copy of the request. Its deadline field is how long the node will wait, at least 1 ms.
func (o outgoing) bytes(timeout balancer.Millis) []byte {
	out := make([]byte, 0, len(o.head)+len(o.body)+deadlineBytes)
	out = append(out, o.head...)
	out = append(out, HeaderDeadline+": "...)
	out = strconv.AppendInt(out, max(1, int64(timeout)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, o.body...)
}

// StartAttempt starts an attempt. The engine calls it for each one that the balancer decides on. An infinite timeout is that
// of a request whose body is still uploaded; the last byte must be written by writeDeadline, where that is not 0.
func (r *request) StartAttempt(
	server balancer.ServerID, timeout, writeDeadline balancer.Millis, done func(engine.Completion),
) engine.Attempt {
	if math.IsInf(timeout, 1) {
		timeout = r.timeout // it begins once the body is complete
	}
	relayed := &r.handler.options.Counters.Operations.For(r.class.Name).Relayed
	c := engine.OutgoingRequest{
		Bytes:         r.outgoing.bytes(timeout),
		Body:          r.outgoing.largeBody,
		OnWritten:     relayed.Inc,
		ClientWaiting: r.clientWaiting,
	}
	if writeDeadline > 0 {
		c.WriteDeadline = time.Now().Add(clock.Span(writeDeadline - r.handler.options.Clock.Now()))
	}
	return r.handler.options.Send(server, c, done)
}

// clientWaiting reports whether the client is still connected. The engine learns that a client has left only behind the other
// events in its mailbox, which may be hundreds; an attempt that begins meanwhile would run for nobody.
func (r *request) clientWaiting() bool { return !r.client.Disconnected() }
