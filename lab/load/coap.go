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
func (l *Load) openDevices() {
	s := l.o.Scenario
	if s.Clients.Coap == 0 || len(l.o.Coap) == 0 {
		return
	}
	up, down := backend.Impairment(s.Links.Clients)
	for node, addr := range l.o.Coap {
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
			free <- &device{conn, coap.New(conn, to, coap.Options{AckTimeout: ackTimeout, MaxRetransmit: 6, Duplicates: s.Clients.Dup})}
		}
		l.boxes = append(l.boxes, free)
	}
}

func (l *Load) closeDevices() {
	for _, free := range l.boxes {
		for len(free) > 0 {
			_ = (<-free).conn.Close()
		}
	}
}

// overCoap tells whether an operation is asked over CoAP: decided by its own chance, so the same in each run.
func (l *Load) overCoap(a scenario.Arrival) bool {
	return len(l.boxes) > 0 && float64(a.Pick>>40)/float64(1<<24) < l.o.Scenario.Clients.Coap
}

// tryCoap sends one request from a free device of some node.
func (l *Load) tryCoap(ctx context.Context, op, n int, a scenario.Arrival, left time.Duration) reply {
	node := int((a.Pick>>8 + uint64(n)) % uint64(len(l.boxes)))
	c := l.o.Scenario.Classes[a.Class]
	var d *device
	select {
	case d = <-l.boxes[node]:
	case <-time.After(left):
		return reply{ending: audit.Unplaced}
	}
	defer func() { l.boxes[node] <- d }()
	id := backend.ID(op, n)
	t := audit.Try{ID: id, Op: op, Node: node, Sent: l.now(), Expires: l.now() + left,
		Effect: map[string]audit.Effect{"safe": audit.Safe, "keyed": audit.Keyed, "unsafe": audit.Unsafe}[c.Effect]}
	req := coap.Request{Code: codes.GET, Path: c.Name, Query: []string{"try=" + id, fmt.Sprintf("w=%d", a.Work.Microseconds()),
		fmt.Sprintf("tenant=t%03d", a.Tenant), fmt.Sprintf("wait=%d", max(1, left.Milliseconds()))}}
	if c.Effect != "safe" {
		req.Code, req.Body = codes.POST, make([]byte, c.Body)
	}
	if c.Effect == "keyed" {
		req.Query = append(req.Query, fmt.Sprintf("key=k%012x", op))
	}
	if n > 0 && l.o.Scenario.Clients.MarksRetry {
		req.Query = append(req.Query, "retry=1")
	}
	until, cancel := context.WithDeadline(ctx, time.Now().Add(left+linger))
	defer cancel()
	got, err := d.c.Do(until, req)
	r := l.coapReply(got, err)
	if l.o.Scenario.Links.Clients.Loss > 0 && l.now() > t.Expires { // lost on the way and asked for again: the stored answer
		r.ending = audit.OnWay
	}
	t.Ended, t.Ending, t.Answers, t.Body, t.Status = l.now(), r.ending, r.answers, r.body, int(got.Code)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
	return r
}

// coapReply reads an answer. None at all is the link's doing where it loses datagrams: then nobody can tell whether the node
// answered, and the auditor looks at effects alone.
func (l *Load) coapReply(got coap.Response, err error) reply {
	impaired := l.o.Scenario.Links.Clients.Loss > 0
	switch {
	case err != nil && impaired:
		return reply{ending: audit.OnWay}
	case err != nil && errors.Is(err, context.Canceled):
		return reply{ending: audit.Left}
	case err != nil:
		return reply{ending: audit.Lost}
	case got.Code>>5 == 2:
		return reply{ending: audit.Served, status: 200, answers: 1, body: bodyID(got.Body)}
	case got.Code == codes.ServiceUnavailable:
		return reply{ending: audit.Refused, status: 503, answers: 1, advised: true, retryAfter: time.Duration(got.MaxAge) * time.Second}
	}
	return reply{ending: audit.Failed, status: 502, answers: 1}
}
