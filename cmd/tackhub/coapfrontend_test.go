package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	coap "tackhub.example/tackhub/internal/coap/client"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/lab/netfault"
)

// freeUDPAddress returns a UDP address on which nothing listens.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	host, _, _ := net.SplitHostPort(freeAddress(t))
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// startWithCoap starts a node with a CoAP listener in addition to its HTTP listener. moreOptions is appended to the
// operator file.
func startWithCoap(t *testing.T, moreOptions string, servers ...*backend) (p *nodeProcess, addr string) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	addr = freeUDPAddress(t)
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[coap]\nlisten = \""+addr+"\"\n"+moreOptions)
	p = startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	return p, addr
}

// newCoapClient opens a socket and a CoAP client on it. If link is not nil, the datagrams pass through it.
func newCoapClient(t *testing.T, addr string, link *netfault.Link, options coap.Options) (*coap.Client, net.PacketConn, net.Addr) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if link != nil {
		conn = link.WrapPacket(conn)
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return coap.New(conn, to, options), conn, to
}

// coapDo sends one request and returns its response.
func coapDo(t *testing.T, c *coap.Client, req coap.Request) coap.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	got, err := c.Do(ctx, req)
	if err != nil {
		t.Fatalf("%v %s: %v", req.Code, req.Path, err)
	}
	return got
}

// CoAP requests map to classes by path and method. Each class, each invalid request and each outcome must get the
// response code that the mapping defines for it.
func TestCoapRequestMapsToClassAndResponseCode(t *testing.T) {
	s := startBackend(t, "s1", func(c net.Conn, req receivedRequest) bool {
		return respond(200, "got "+req.line+" "+string(req.body))(c, req)
	})
	p, addr := startWithCoap(t, "", s)
	c, _, _ := newCoapClient(t, addr, nil, coap.Options{})
	for _, test := range []struct {
		request coap.Request
		code    codes.Code
		body    string
	}{
		{coap.Request{Code: codes.GET, Path: "look/a b", Query: []string{"w=5", "tenant=acme", "x&y"}}, codes.Content, "got GET /look/a%20b?w=5&x%26y HTTP/1.1 "},
		{coap.Request{Code: codes.POST, Path: "store", Query: []string{"key=k1"}, Body: []byte("cover")}, codes.Changed, "got POST /store HTTP/1.1 cover"},
		{coap.Request{Code: codes.PUT, Path: "bill", Body: []byte("amount")}, codes.Changed, "got POST /bill HTTP/1.1 amount"},
		{coap.Request{Code: codes.POST, Path: "store"}, codes.BadRequest, "no key"},
		{coap.Request{Code: codes.GET, Path: "none"}, codes.NotFound, `no class "none"`},
		{coap.Request{Code: codes.DELETE, Path: "look"}, codes.MethodNotAllowed, "DELETE on look"},
		{coap.Request{Code: codes.GET, Path: "look", Query: []string{"wait=soon"}}, codes.BadRequest, ""},
	} {
		if got := coapDo(t, c, test.request); got.Code != test.code || string(got.Body) != test.body {
			t.Errorf("%+v: got %v %q, want %v %q", test.request, got.Code, got.Body, test.code, test.body)
		}
	}
	for _, req := range s.requests() {
		if req.header.Get("X-Request-Id") == "" || req.header.Get("X-Class") == "" {
			t.Errorf("request at the server lacks X-Request-Id or X-Class: %+v", req.header)
		}
	}
	s.setBehavior(respond(503, "", "X-Not-Run: 1"))
	if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look", Query: []string{"wait=200"}}); got.Code != codes.ServiceUnavailable || got.MaxAge < 1 {
		t.Errorf("rejected request: got %v with Max-Age %d, want ServiceUnavailable with a Max-Age of at least 1", got.Code, got.MaxAge)
	}
	s.setBehavior(resetConn)
	if got := coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("x")}); got.Code != codes.BadGateway {
		t.Errorf("failed request that may have been executed: got %v, want BadGateway", got.Code)
	}
	p.counts().checkRequestTotals(t)
}

// Bodies must be transferred block-wise in both directions, up to the limit of 64 KiB.
func TestCoapBlockTransfer(t *testing.T) {
	responseBody := strings.Repeat("0123456789abcdef", 2000)
	s := startBackend(t, "s1", respond(200, responseBody))
	_, addr := startWithCoap(t, "", s)
	for _, szx := range []uint8{2, 6} {
		c, _, _ := newCoapClient(t, addr, nil, coap.Options{SZX: szx})
		coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("proves its address")})
		if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look"}); got.Code != codes.Content || string(got.Body) != responseBody {
			t.Errorf("download: got %v with %d bytes, want Content with %d bytes", got.Code, len(got.Body), len(responseBody))
		}
		body := bytes.Repeat([]byte("cover"), 3000)
		before := len(s.requests())
		if got := coapDo(t, c, coap.Request{Code: codes.PUT, Path: "store", Query: []string{"key=k"}, Body: body}); got.Code != codes.Changed {
			t.Errorf("upload of %d bytes: got %v, want Changed", len(body), got.Code)
		}
		received := s.requests()[before:]
		if len(received) != 1 || !bytes.Equal(received[0].body, body) {
			t.Errorf("got %d requests at the server, want 1 with the uploaded body", len(received))
		}
	}
	c, _, _ := newCoapClient(t, addr, nil, coap.Options{})
	coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("proves its address")})
	if got := coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: make([]byte, 64<<10+1)}); got.Code != codes.RequestEntityTooLarge {
		t.Errorf("body above the limit: got %v, want RequestEntityTooLarge", got.Code)
	}
}

// roundTrip sends one datagram and returns the next received message, or nil after waitTimeout.
func roundTrip(t *testing.T, conn net.PacketConn, to net.Addr, b []byte) *message.Message {
	t.Helper()
	if _, err := conn.WriteTo(b, to); err != nil {
		t.Fatal(err)
	}
	return receive(t, conn, waitTimeout)
}

// receive returns the next received message, or nil after the timeout.
func receive(t *testing.T, conn net.PacketConn, timeout time.Duration) *message.Message {
	t.Helper()
	buf := make([]byte, 64<<10)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	n, _, err := conn.ReadFrom(buf)
	if err != nil {
		return nil
	}
	m, err := wire.Decode(buf[:n])
	if err != nil {
		t.Fatal(err)
	}
	return &m
}

// encode returns the datagram of a message.
func encode(t *testing.T, m message.Message) []byte {
	t.Helper()
	b, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// billingMessage returns an unsafe request. If echo is not nil, it has an Echo option.
func billingMessage(id int32, token string, echo []byte) message.Message {
	m := message.Message{Type: wire.Con, Code: codes.POST, MessageID: id, Token: []byte(token), Payload: []byte("amount"),
		Options: message.Options{}.Add(message.Option{ID: message.URIPath, Value: []byte("bill")})}
	if echo != nil {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: echo})
	}
	return m
}

// The network duplicates the messages of an unsafe request. A duplicate of a completed request must get the stored
// response, and a duplicate of a request in flight the response of that request. The same message id with another token,
// as from a rebooted device, is a new request. A request with an Echo value from another process must not be executed,
// but must not be rejected as safe to retry either, because that process may have executed it.
func TestCoapDuplicatesExecuteOnce(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respond(200, "billed"))
	_, addr := startWithCoap(t, "", s)
	_, conn, to := newCoapClient(t, addr, nil, coap.Options{})
	challenge := roundTrip(t, conn, to, encode(t, billingMessage(1, "t1", nil)))
	echo, present := wire.Bytes(challenge, message.Echo)
	if challenge.Code != codes.Unauthorized || !present || len(s.requests()) != 0 {
		t.Fatalf("request without Echo: got %v and %d requests at the server, want Unauthorized and 0", challenge, len(s.requests()))
	}
	bill := encode(t, billingMessage(2, "t2", echo))
	first := roundTrip(t, conn, to, bill)
	for range 5 {
		if repeated := roundTrip(t, conn, to, bill); repeated.Code != codes.Changed || repeated.MessageID != first.MessageID || repeated.Type != wire.Ack ||
			!bytes.Equal(repeated.Payload, first.Payload) || !bytes.Equal(repeated.Token, first.Token) {
			t.Errorf("duplicate: got %v, want the first response %v", repeated, first)
		}
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("got %d requests at the server, want 1", n)
	}
	if m := roundTrip(t, conn, to, encode(t, billingMessage(2, "t9", echo))); m.Code != codes.Changed || string(m.Token) != "t9" || len(s.requests()) != 2 {
		t.Errorf("same message id from a rebooted device: got %v and %d requests at the server, want Changed and 2", m, len(s.requests()))
	}
	s.setBehavior(respondAfter(gate, respond(200, "late")))
	slow := encode(t, billingMessage(3, "t3", echo))
	for range 4 {
		if _, err := conn.WriteTo(slow, to); err != nil {
			t.Fatal(err)
		}
	}
	m := receive(t, conn, waitTimeout) // the response takes longer than the limit for an acknowledgement
	if m == nil || m.Type != wire.Ack || m.Code != codes.Empty {
		t.Fatalf("got %v, want an empty acknowledgement", m)
	}
	close(gate)
	for m.Code == codes.Empty {
		if m = receive(t, conn, waitTimeout); m == nil {
			t.Fatalf("no separate response within %v", waitTimeout)
		}
	}
	if m.Type != wire.Con || string(m.Payload) != "late" || string(m.Token) != "t3" {
		t.Errorf("got separate response %v, want a confirmable one with token t3 and payload late", m)
	}
	if _, err := conn.WriteTo(wire.Empty(wire.Ack, uint16(m.MessageID)), to); err != nil {
		t.Fatal(err)
	}
	if n := len(s.requests()); n != 3 {
		t.Errorf("got %d requests at the server after 4 copies of a request in flight, want 3", n)
	}
	s.setBehavior(respond(200, "billed"))
	_, other := startWithCoap(t, "", s) // another node behind the same address, or this one after a restart
	_, conn2, to2 := newCoapClient(t, other, nil, coap.Options{})
	before := len(s.requests())
	if m := roundTrip(t, conn2, to2, bill); m.Code != codes.BadGateway || len(s.requests()) != before {
		t.Errorf("Echo value of another process: got %v and %d more requests at the server, want BadGateway and 0", m, len(s.requests())-before)
	}
}

// Datagrams are truncated, forged or too long. Each must get the response that RFC 7252 defines, if any, and the node
// must continue to serve CoAP and HTTP.
func TestCoapMalformedMessages(t *testing.T) {
	s := startBackend(t, "s1", respond(200, strings.Repeat("x", 2000)))
	p, addr := startWithCoap(t, "", s)
	_, conn, to := newCoapClient(t, addr, nil, coap.Options{})
	if m := roundTrip(t, conn, to, []byte{0x40, 0, 1, 2}); m.Type != wire.Rst || m.MessageID != 0x0102 {
		t.Errorf("ping: got %v, want a reset with message id 0x0102", m)
	}
	if m := roundTrip(t, conn, to, []byte{0x40, 0x45, 1, 3}); m.Type != wire.Rst {
		t.Errorf("unexpected response: got %v, want a reset", m)
	}
	if m := roundTrip(t, conn, to, []byte{0x4f, 1, 1, 4}); m.Type != wire.Rst {
		t.Errorf("token length of 15 bytes: got %v, want a reset", m)
	}
	critical := message.Message{Type: wire.Con, Code: codes.GET, MessageID: 9, Options: message.Options{}.Add(message.Option{ID: message.URIPath, Value: []byte("look")}).
		Add(message.Option{ID: 2049, Value: []byte("x")})}
	if m := roundTrip(t, conn, to, encode(t, critical)); m.Code != codes.BadOption {
		t.Errorf("unknown critical option: got %v, want BadOption", m)
	}
	elective := critical
	elective.MessageID, elective.Options = 10, message.Options{}.Add(message.Option{ID: message.Observe, Value: []byte{}}).
		Add(message.Option{ID: message.URIPath, Value: []byte("look")}).Add(message.Option{ID: 2050, Value: []byte("x")})
	if m := roundTrip(t, conn, to, encode(t, elective)); m.Code != codes.Unauthorized || len(m.Payload) > 100 {
		t.Errorf("long response to an unvalidated address: got %v with %d bytes, want Unauthorized with at most 100 bytes", m.Code, len(m.Payload))
	}
	for n := range 64 { // truncated and forged datagrams; the one after the loop is about as long as a datagram can be
		junk := bytes.Repeat([]byte{byte(n * 37)}, n)
		_, _ = conn.WriteTo(junk, to)
	}
	_, _ = conn.WriteTo(append([]byte{0x40, 1, 9, 9}, bytes.Repeat([]byte{0xff}, 60_000)...), to)
	c, _, _ := newCoapClient(t, addr, nil, coap.Options{})
	s.setBehavior(respond(200, "short"))
	if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look"}); string(got.Body) != "short" {
		t.Errorf("after the malformed datagrams: got %v, want the payload short", got)
	}
	if p.mustDo(request("look", 1000)).status != 200 {
		t.Error("the HTTP listener does not respond with status 200")
	}
}

// A fifth of the datagrams are lost in each direction, and each is sent twice. Every request must get its own response
// or none, and no unsafe request may be executed twice.
func TestCoapOverLossAndDuplicates(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	s := startBackend(t, "s1", func(c net.Conn, req receivedRequest) bool {
		mu.Lock()
		executions[string(req.body)]++
		mu.Unlock()
		return respond(200, "done "+string(req.body))(c, req)
	})
	_, addr := startWithCoap(t, "", s)
	var clients sync.WaitGroup
	for d := range 8 {
		impairment := netfault.Impairment{Loss: 0.2, Jitter: 5 * time.Millisecond}
		c, _, _ := newCoapClient(t, addr, netfault.NewLink(impairment, impairment, uint64(d+1)), coap.Options{AckTimeout: 60 * time.Millisecond, MaxRetransmit: 9, Duplicates: 1})
		clients.Go(func() {
			for i := range 12 {
				text := fmt.Sprintf("d%d-%d", d, i)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				got, err := c.Do(ctx, coap.Request{Code: codes.POST, Path: "bill", Body: []byte(text)})
				for err == nil && got.Code == codes.ServiceUnavailable { // rejected before execution, so a retry is harmless
					got, err = c.Do(ctx, coap.Request{Code: codes.POST, Path: "bill", Body: []byte(text)})
				}
				cancel()
				if errors.Is(err, coap.ErrNoAnswer) || err == nil && got.Code == codes.Changed && string(got.Body) == "done "+text {
					continue
				}
				t.Errorf("%s: got %v %q, %v, want Changed %q", text, got.Code, got.Body, err, "done "+text)
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for text, n := range executions {
		if n != 1 {
			t.Errorf("request %s was executed %d times, want 1", text, n)
		}
	}
	if len(executions) < 90 {
		t.Errorf("%d of 96 requests were executed, want at least 90", len(executions))
	}
}

// SIGTERM arrives while a CoAP request is in flight. The request must be completed, and the exit code must be 0.
func TestShutdownCompletesCoapRequest(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "last")))
	p, addr := startWithCoap(t, "", s)
	c, _, _ := newCoapClient(t, addr, nil, coap.Options{})
	responses := make(chan coap.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		got, _ := c.Do(ctx, coap.Request{Code: codes.GET, Path: "look"})
		responses <- got
	}()
	eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
	p.terminate()
	eventually(t, "the drain in the log", func() bool { return p.logCount(`"code":"drain"`) > 0 })
	close(gate)
	if got := <-responses; string(got.Body) != "last" {
		t.Errorf("request in flight: got %v, want the payload last", got)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}
