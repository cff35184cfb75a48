package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	coap "tackhub.example/tackhub/internal/coap/client"
	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// ackTimeout is how soon a device sends a message again. The standard's 2 s is beyond the deadlines of interactive
// requests; RFC 7252, 4.8.1 lets an application set its own where it knows its network.
const ackTimeout = 120 * time.Millisecond

// device is one socket with a client on it, used by one operation at a time.
type device struct {
	conn net.PacketConn
	c    *coap.Client
}

// openDevices opens the devices' sockets. One that cannot be opened is missing; the others carry its load.
func (g *Generator) openDevices() {
	s := g.options.Scenario
	if s.Clients.Coap == 0 || len(g.options.CoapAddresses) == 0 {
		return
	}
	up, down := backend.Impairments(s.Links.Clients)
	for node, addr := range g.options.CoapAddresses {
		free := make(chan *device, s.Clients.Devices)
		to, err := net.ResolveUDPAddr("udp", addr)
		for i := 0; i < s.Clients.Devices && err == nil; i++ {
			conn, e := net.ListenPacket("udp", "127.0.0.1:0")
			if e != nil {
				break
			}
			if !up.Clean() || !down.Clean() {
				conn = netfault.NewLink(up, down, s.Seed<<16+uint64(node)<<10+uint64(i)).WrapPacket(conn)
			}
			free <- &device{conn, coap.New(conn, to, coap.Options{AckTimeout: ackTimeout, MaxRetransmit: 6, Duplicates: s.Clients.Duplicates})}
		}
		g.freeDevices = append(g.freeDevices, free)
	}
}

// closeDevices closes the devices' sockets.
func (g *Generator) closeDevices() {
	for _, free := range g.freeDevices {
		for len(free) > 0 {
			_ = (<-free).conn.Close()
		}
	}
}

// usesCoap reports whether an operation is requested over CoAP. That depends on its own random number, so it is the same
// in each run.
func (g *Generator) usesCoap(a scenario.Arrival) bool {
	return len(g.freeDevices) > 0 && float64(a.Random>>40)/float64(1<<24) < g.options.Scenario.Clients.Coap
}

// attemptCoap sends one request from a free device of some node.
func (g *Generator) attemptCoap(ctx context.Context, op, n int, a scenario.Arrival, left time.Duration) response {
	node := int((a.Random>>8 + uint64(n)) % uint64(len(g.freeDevices)))
	c := g.options.Scenario.Classes[a.Class]
	var d *device
	select {
	case d = <-g.freeDevices[node]:
	case <-time.After(left):
		return response{outcome: audit.NotConnected}
	}
	defer func() { g.freeDevices[node] <- d }()
	id := backend.AttemptID(op, n)
	t := audit.Attempt{
		ID:        id,
		Operation: op,
		Node:      node,
		Sent:      g.now(),
		Deadline:  g.now() + left,
		Effect:    audit.EffectOf(c.Effect),
	}
	req := g.coapRequest(id, op, n, a, left)
	until, cancel := context.WithDeadline(ctx, time.Now().Add(left+lateWindow))
	defer cancel()
	got, err := d.c.Do(until, req)
	r := g.coapResponse(got, err)
	if g.options.Scenario.Links.Clients.Loss > 0 && g.now() > t.Deadline { // lost, and the stored response came for a repeat
		r.outcome = audit.InTransit
	}
	t.Ended = g.now()
	r.status = int(got.Code)
	g.record(t, r)
	return r
}

// coapRequest is one attempt over CoAP. Its id, work and tenant go in the query.
func (g *Generator) coapRequest(id string, op, n int, a scenario.Arrival, left time.Duration) coap.Request {
	c := g.options.Scenario.Classes[a.Class]
	req := coap.Request{Code: codes.GET, Path: c.Name, Query: []string{
		"try=" + id,
		fmt.Sprintf("w=%d", a.Work.Microseconds()),
		fmt.Sprintf("tenant=t%03d", a.Tenant),
		fmt.Sprintf("wait=%d", max(1, left.Milliseconds())),
	}}
	if c.Effect != scenario.EffectSafe {
		req.Code = codes.POST
		req.Body = make([]byte, c.Body)
	}
	if c.Effect == scenario.EffectKeyed {
		req.Query = append(req.Query, fmt.Sprintf("key=k%012x", op))
	}
	if n > 0 && g.options.Scenario.Clients.MarksRetry {
		req.Query = append(req.Query, "retry=1")
	}
	return req
}

// coapResponse reads a response. Where the link loses datagrams a missing one may be the link's doing: then nobody can
// tell whether the node answered, and the auditor looks at executions alone.
func (g *Generator) coapResponse(got coap.Response, err error) response {
	impaired := g.options.Scenario.Links.Clients.Loss > 0
	switch {
	case err != nil && impaired:
		return response{outcome: audit.InTransit}
	case err != nil && errors.Is(err, context.Canceled):
		return response{outcome: audit.Cancelled}
	case err != nil:
		return response{outcome: audit.Lost}
	case got.Code>>5 == 2:
		return response{outcome: audit.Served, status: 200, count: 1, body: bodyID(got.Body)}
	case got.Code == codes.ServiceUnavailable:
		return response{outcome: audit.Rejected, status: 503, count: 1, hasRetryAfter: true, retryAfter: time.Duration(got.MaxAge) * time.Second}
	}
	return response{outcome: audit.Failed, status: 502, count: 1}
}
