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

// ackTimeout is the time after which a device first retransmits an unacknowledged message. The default of 2 s in RFC 7252
// exceeds the deadlines of interactive requests; section 4.8.1 allows an application that knows its network to change it.
const ackTimeout = 120 * time.Millisecond

// deviceRoundTrips is the number of round trips of a request: a device's first request with an effect is answered with an Echo challenge
// and sent again, while its client's time runs.
const deviceRoundTrips = 2

// roundTripDelay returns the longest delay that a link adds to a message and its response, if neither is lost.
func roundTripDelay(link scenario.Impairment) time.Duration {
	up, down := backend.Impairments(link)
	return up.Delay + up.Jitter + down.Delay + down.Jitter
}

// uplinkDelay returns the longest delay that a link adds to a message of a device.
func uplinkDelay(link scenario.Impairment) time.Duration {
	up, _ := backend.Impairments(link)
	return up.Delay + up.Jitter
}

// device is a CoAP client with its own UDP socket. Only one operation uses it at a time.
type device struct {
	socket *deviceSocket
	client *coap.Client
}

// openDevices opens the devices' sockets. If one cannot be opened, the node gets fewer devices, which share the load.
func (g *Generator) openDevices() {
	s := g.options.Scenario
	if s.Clients.Coap == 0 || len(g.options.CoapAddresses) == 0 {
		return
	}
	up, down := backend.Impairments(s.Links.Clients)
	for node, addr := range g.options.CoapAddresses {
		free := make(chan *device, s.Clients.Devices)
		target, err := net.ResolveUDPAddr("udp", addr)
		for i := 0; i < s.Clients.Devices && err == nil; i++ {
			socket, dialErr := dialDevice(target)
			if dialErr != nil {
				break
			}
			var conn net.PacketConn = socket
			if !up.Clean() || !down.Clean() {
				conn = netfault.NewLink(up, down, s.Seed<<16+uint64(node)<<10+uint64(i)).WrapPacket(conn)
			}
			free <- &device{socket, coap.New(conn, target, coap.Options{AckTimeout: ackTimeout, MaxRetransmit: 6, Duplicates: s.Clients.Duplicates})}
		}
		g.freeDevices = append(g.freeDevices, free)
	}
}

// closeDevices closes the devices' sockets.
func (g *Generator) closeDevices() {
	for _, free := range g.freeDevices {
		for len(free) > 0 {
			_ = (<-free).socket.Close()
		}
	}
}

// usesCoap reports whether the requests of an operation use CoAP. This depends only on the random number in its schedule
// entry, so it is the same in each run.
func (g *Generator) usesCoap(arrival scenario.Arrival) bool {
	return len(g.freeDevices) > 0 && float64(arrival.Random>>40)/float64(1<<24) < g.options.Scenario.Clients.Coap
}

// attemptCoap sends one request from a free device of a randomly chosen node and waits for its response.
func (g *Generator) attemptCoap(ctx context.Context, op, attemptIndex int, arrival scenario.Arrival, remaining time.Duration) response {
	node := int((arrival.Random>>8 + uint64(attemptIndex)) % uint64(len(g.freeDevices)))
	class := g.options.Scenario.Classes[arrival.Class]
	var dev *device
	select {
	case dev = <-g.freeDevices[node]:
	case <-time.After(remaining):
		return response{outcome: audit.NotConnected}
	}
	defer func() { g.freeDevices[node] <- dev }()
	id := backend.AttemptID(op, attemptIndex)
	attempt := audit.Attempt{
		ID:        id,
		Operation: op,
		Node:      node,
		Sent:      g.now(),
		Deadline:  g.now() + remaining,
		Effect:    audit.EffectOf(class.Effect),
		LinkDelay: deviceRoundTrips * roundTripDelay(g.options.Scenario.Links.Clients),
		CopyDelay: uplinkDelay(g.options.Scenario.Links.Clients),
	}
	req := g.coapRequest(id, op, attemptIndex, arrival, remaining)
	waitCtx, cancel := context.WithDeadline(ctx, time.Now().Add(remaining+attempt.LinkDelay+lateResponseWindow))
	defer cancel()
	dev.socket.takeDelay() // of an earlier attempt that was abandoned
	got, err := dev.client.Do(waitCtx, req)
	attempt.Unreachable = dev.socket.takeDelay()
	result := g.coapResponse(got, err)
	// If the link lost a datagram, the node answers the retransmission with its stored response, possibly after the deadline.
	// A response after the deadline is therefore attributed to the link.
	if g.options.Scenario.Links.Clients.Loss > 0 && g.now() > attempt.Deadline {
		result.outcome = audit.InTransit
	}
	attempt.Ended = g.now()
	result.status = int(got.Code)
	g.record(attempt, result)
	return result
}

// coapRequest returns the CoAP request of one attempt. The attempt's ID, work, tenant and remaining time are query
// parameters.
func (g *Generator) coapRequest(id string, op, attemptIndex int, arrival scenario.Arrival, remaining time.Duration) coap.Request {
	class := g.options.Scenario.Classes[arrival.Class]
	req := coap.Request{Code: codes.GET, Path: class.Name, Query: []string{
		"try=" + id,
		fmt.Sprintf("w=%d", arrival.Work.Microseconds()),
		fmt.Sprintf("tenant=t%03d", arrival.Tenant),
		fmt.Sprintf("wait=%d", max(1, remaining.Milliseconds())),
	}}
	if class.Effect != scenario.EffectSafe {
		req.Code = codes.POST
		req.Body = make([]byte, class.Body)
	}
	if class.Effect == scenario.EffectKeyed {
		req.Query = append(req.Query, fmt.Sprintf("key=k%012x", op))
	}
	if attemptIndex > 0 && g.options.Scenario.Clients.MarksRetry {
		req.Query = append(req.Query, "retry=1")
	}
	return req
}

// coapResponse classifies a response. If the link loses datagrams and no response arrives, it is unknown whether the node
// responded. The auditor then checks only the executions.
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
