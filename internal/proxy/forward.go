package proxy

import (
	"math"
	"strconv"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// outgoing is a request in the form that is forwarded: without hop-by-hop fields, and with the remaining time in place of the
// client's deadline. It shares no memory with the client's connection, because an attempt may outlive the request.
type outgoing struct {
	head              []byte // request line and header fields, without the empty line after them
	body              []byte
	largeBody         engine.RequestBody // replaces body if not nil
	submittedDeadline balancer.Millis    // the deadline in the Arrival that is submitted to the balancer
}

// notForwarded contains the hop-by-hop fields and the fields that the node writes itself.
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
	headCapacity  = 512 // bytes; enough for the head of most requests
	deadlineBytes = 32  // bytes; enough for the deadline field and the end of the head
)

func newOutgoing(in *received, deadline balancer.Millis) outgoing {
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
	return outgoing{head: head, body: body, largeBody: in.largeBody, submittedDeadline: deadline}
}

func appendField(head, name, value []byte) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// bytes encodes the request for one attempt. Its deadline field is the timeout of the attempt, at least 1 ms.
func (o outgoing) bytes(timeout balancer.Millis) []byte {
	out := make([]byte, 0, len(o.head)+len(o.body)+deadlineBytes)
	out = append(out, o.head...)
	out = append(out, HeaderDeadline+": "...)
	out = strconv.AppendInt(out, max(1, int64(timeout)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, o.body...)
}

// StartAttempt starts an attempt. The engine calls it for each attempt that the balancer decides on.
func (r *request) StartAttempt(options engine.AttemptOptions, done func(engine.Completion)) engine.Attempt {
	relayed := &r.handler.options.Counters.Operations.For(r.class.Name).Relayed
	attempt := engine.OutgoingRequest{
		Encode:        r.encoder(options.Timeout),
		Body:          r.outgoing.largeBody,
		OnWritten:     relayed.Inc,
		Group:         options.Group,
		ClientWaiting: r.clientWaiting,

		ClientMayHaveLeft: r.client.MayHaveDisconnected,
	}
	if options.WriteDeadline > 0 {
		attempt.WriteDeadline = time.Now().Add(clock.Duration(options.WriteDeadline - r.handler.options.Clock.Now()))
	}
	return r.handler.options.Send(options.Server, attempt, done)
}

// encoder returns a function that encodes the request with the time that is left of an attempt's timeout, which runs from now. The timeout of an
// attempt whose body is still being uploaded runs from the time at which the body is complete.
func (r *request) encoder(timeout balancer.Millis) func() []byte {
	if math.IsInf(timeout, 1) {
		return func() []byte { return r.outgoing.bytes(r.timeout) }
	}
	expiresAt := r.handler.options.Clock.Now() + timeout
	return func() []byte { return r.outgoing.bytes(expiresAt - r.handler.options.Clock.Now()) }
}

// clientWaiting reports whether the client is still connected. A client's cancellation may be queued behind hundreds of other
// messages in the engine's mailbox. An attempt that starts meanwhile would produce a response that no client receives.
func (r *request) clientWaiting() bool { return !r.client.Disconnected() }
