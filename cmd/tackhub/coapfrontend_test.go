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

// freeUDP is an address on which nobody listens for datagrams.
func freeUDP(t *testing.T) string {
	t.Helper()
	host, _, _ := net.SplitHostPort(freeAddress(t))
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// startWithCoap starts a node with a CoAP listener beside its HTTP one.
func startWithCoap(t *testing.T, more string, servers ...*backend) (p *nodeProcess, addr string) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	addr = freeUDP(t)
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, "[coap]\nlisten = \""+addr+"\"\n"+more)
	p = startNode(t, nodeOptions{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge}})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	return p, addr
}

// device opens a socket, on a link where one is given, and a client on it.
func device(t *testing.T, addr string, l *netfault.Link, o coap.Options) (*coap.Client, net.PacketConn, net.Addr) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if l != nil {
		conn = l.WrapPacket(conn)
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return coap.New(conn, to, o), conn, to
}

// coapDo sends one request and returns its response.
func coapDo(t *testing.T, c *coap.Client, r coap.Request) coap.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	got, err := c.Do(ctx, r)
	if err != nil {
		t.Fatalf("%v %s: %v", r.Code, r.Path, err)
	}
	return got
}

// CoAP requests map to classes by path and method. Each class, each malformed request and each outcome has its response
// code.
func TestCoapMapping(t *testing.T) {
	s := startBackend(t, "s1", func(c net.Conn, g receivedRequest) bool { return respond(200, "got "+g.line+" "+string(g.body))(c, g) })
	p, addr := startWithCoap(t, "", s)
	c, _, _ := device(t, addr, nil, coap.Options{})
	for _, x := range []struct {
		r    coap.Request
		code codes.Code
		body string
	}{
		{coap.Request{Code: codes.GET, Path: "look/a b", Query: []string{"w=5", "tenant=acme", "x&y"}}, codes.Content, "got GET /look/a%20b?w=5&x%26y HTTP/1.1 "},
		{coap.Request{Code: codes.POST, Path: "store", Query: []string{"key=k1"}, Body: []byte("cover")}, codes.Changed, "got POST /store HTTP/1.1 cover"},
		{coap.Request{Code: codes.PUT, Path: "bill", Body: []byte("amount")}, codes.Changed, "got POST /bill HTTP/1.1 amount"},
		{coap.Request{Code: codes.POST, Path: "store"}, codes.BadRequest, "no key"},
		{coap.Request{Code: codes.GET, Path: "none"}, codes.NotFound, `no class "none"`},
		{coap.Request{Code: codes.DELETE, Path: "look"}, codes.MethodNotAllowed, "DELETE on look"},
		{coap.Request{Code: codes.GET, Path: "look", Query: []string{"wait=soon"}}, codes.BadRequest, ""},
	} {
		if got := coapDo(t, c, x.r); got.Code != x.code || string(got.Body) != x.body {
			t.Errorf("%+v: %v %q, want %v %q", x.r, got.Code, got.Body, x.code, x.body)
		}
	}
	for _, g := range s.requests() {
		if g.header.Get("X-Request-Id") == "" || g.header.Get("X-Class") == "" {
			t.Errorf("a server got %+v", g.header)
		}
	}
	s.setBehavior(respond(503, "", "X-Not-Run: 1"))
	if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look", Query: []string{"wait=200"}}); got.Code != codes.ServiceUnavailable || got.MaxAge < 1 {
		t.Errorf("a rejection is %v with Max-Age %d", got.Code, got.MaxAge)
	}
	s.setBehavior(resetConn)
	if got := coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("x")}); got.Code != codes.BadGateway {
		t.Errorf("a failure that may have run is %v", got.Code)
	}
	p.counts().addUp(t)
}

// Bodies are transferred block-wise in both directions, up to the limit.
func TestCoapBlockTransfer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 2000)
	s := startBackend(t, "s1", respond(200, long))
	_, addr := startWithCoap(t, "", s)
	for _, szx := range []uint8{2, 6} {
		c, _, _ := device(t, addr, nil, coap.Options{SZX: szx})
		coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("proves its address")})
		if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look"}); got.Code != codes.Content || string(got.Body) != long {
			t.Errorf("fetched %v with %d bytes of %d", got.Code, len(got.Body), len(long))
		}
		body := bytes.Repeat([]byte("cover"), 3000)
		before := len(s.requests())
		if got := coapDo(t, c, coap.Request{Code: codes.PUT, Path: "store", Query: []string{"key=k"}, Body: body}); got.Code != codes.Changed {
			t.Errorf("an upload of %d bytes got %v", len(body), got.Code)
		}
		seen := s.requests()[before:]
		if len(seen) != 1 || !bytes.Equal(seen[0].body, body) {
			t.Errorf("the server got %d requests", len(seen))
		}
	}
	c, _, _ := device(t, addr, nil, coap.Options{})
	coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: []byte("proves its address")})
	if got := coapDo(t, c, coap.Request{Code: codes.POST, Path: "bill", Body: make([]byte, 64<<10+1)}); got.Code != codes.RequestEntityTooLarge {
		t.Errorf("a body above the bound got %v", got.Code)
	}
}

// roundTrip sends one datagram and returns the next one that comes.
func roundTrip(t *testing.T, conn net.PacketConn, to net.Addr, b []byte) *message.Message {
	t.Helper()
	if _, err := conn.WriteTo(b, to); err != nil {
		t.Fatal(err)
	}
	return receive(t, conn, waitTimeout)
}

// receive returns the next datagram; nil where none comes in time.
func receive(t *testing.T, conn net.PacketConn, wait time.Duration) *message.Message {
	t.Helper()
	buf := make([]byte, 64<<10)
	_ = conn.SetReadDeadline(time.Now().Add(wait))
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

// encode is a message's datagram.
func encode(t *testing.T, m message.Message) []byte {
	t.Helper()
	b, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// billingMessage is an unsafe request, with an Echo option where one is given.
func billingMessage(id int32, token string, echo []byte) message.Message {
	m := message.Message{Type: wire.Con, Code: codes.POST, MessageID: id, Token: []byte(token), Payload: []byte("amount"),
		Options: message.Options{}.Add(message.Option{ID: message.URIPath, Value: []byte("bill")})}
	if echo != nil {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: echo})
	}
	return m
}

// A network duplicates the messages of an unsafe request. A duplicate of a completed request gets the stored response;
// a duplicate of one in flight joins it; a rebooted device that uses the same message id is a new request. An Echo that
// another process issued is neither executed nor rejected as harmless.
func TestCoapDuplicatesExecuteOnce(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respond(200, "billed"))
	_, addr := startWithCoap(t, "", s)
	_, conn, to := device(t, addr, nil, coap.Options{})
	challenge := roundTrip(t, conn, to, encode(t, billingMessage(1, "t1", nil)))
	echo, there := wire.Bytes(challenge, message.Echo)
	if challenge.Code != codes.Unauthorized || !there || len(s.requests()) != 0 {
		t.Fatalf("without an Echo: %v, %d requests at the server", challenge, len(s.requests()))
	}
	bill := encode(t, billingMessage(2, "t2", echo))
	first := roundTrip(t, conn, to, bill)
	for range 5 {
		if again := roundTrip(t, conn, to, bill); again.Code != codes.Changed || again.MessageID != first.MessageID || again.Type != wire.Ack ||
			!bytes.Equal(again.Payload, first.Payload) || !bytes.Equal(again.Token, first.Token) {
			t.Errorf("a duplicate got %v, the first %v", again, first)
		}
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("%d requests at the server", n)
	}
	if m := roundTrip(t, conn, to, encode(t, billingMessage(2, "t9", echo))); m.Code != codes.Changed || string(m.Token) != "t9" || len(s.requests()) != 2 {
		t.Errorf("a rebooted device got %v, %d at the server", m, len(s.requests()))
	}
	s.setBehavior(respondAfter(gate, respond(200, "late")))
	slow := encode(t, billingMessage(3, "t3", echo))
	for range 4 {
		if _, err := conn.WriteTo(slow, to); err != nil {
			t.Fatal(err)
		}
	}
	m := receive(t, conn, waitTimeout) // its answer takes longer than an acknowledgement may
	if m == nil || m.Type != wire.Ack || m.Code != codes.Empty {
		t.Fatalf("no empty acknowledgement: %v", m)
	}
	close(gate)
	for m.Code == codes.Empty {
		if m = receive(t, conn, waitTimeout); m == nil {
			t.Fatal("no separate answer")
		}
	}
	if m.Type != wire.Con || string(m.Payload) != "late" || string(m.Token) != "t3" {
		t.Errorf("separate answer %v", m)
	}
	if _, err := conn.WriteTo(wire.Empty(wire.Ack, uint16(m.MessageID)), to); err != nil {
		t.Fatal(err)
	}
	if n := len(s.requests()); n != 3 {
		t.Errorf("%d requests at the server after four copies of one in flight", n)
	}
	s.setBehavior(respond(200, "billed"))
	_, other := startWithCoap(t, "", s) // another node of the bank, or this one after a restart
	_, conn2, to2 := device(t, other, nil, coap.Options{})
	before := len(s.requests())
	if m := roundTrip(t, conn2, to2, bill); m.Code != codes.BadGateway || len(s.requests()) != before {
		t.Errorf("another node answered %v, %d more at the server", m, len(s.requests())-before)
	}
}

// Datagrams are cut, forged or too long. What the standard has a response for gets it, and nothing harms the node.
func TestCoapMalformedMessages(t *testing.T) {
	s := startBackend(t, "s1", respond(200, strings.Repeat("x", 2000)))
	p, addr := startWithCoap(t, "", s)
	_, conn, to := device(t, addr, nil, coap.Options{})
	if m := roundTrip(t, conn, to, []byte{0x40, 0, 1, 2}); m.Type != wire.Rst || m.MessageID != 0x0102 {
		t.Errorf("a ping got %v", m)
	}
	if m := roundTrip(t, conn, to, []byte{0x40, 0x45, 1, 3}); m.Type != wire.Rst {
		t.Errorf("an unexpected response got %v", m)
	}
	if m := roundTrip(t, conn, to, []byte{0x4f, 1, 1, 4}); m.Type != wire.Rst {
		t.Errorf("a token of 15 bytes got %v", m)
	}
	critical := message.Message{Type: wire.Con, Code: codes.GET, MessageID: 9, Options: message.Options{}.Add(message.Option{ID: message.URIPath, Value: []byte("look")}).
		Add(message.Option{ID: 2049, Value: []byte("x")})}
	if m := roundTrip(t, conn, to, encode(t, critical)); m.Code != codes.BadOption {
		t.Errorf("an unknown critical option got %v", m)
	}
	elective := critical
	elective.MessageID, elective.Options = 10, message.Options{}.Add(message.Option{ID: message.Observe, Value: []byte{}}).
		Add(message.Option{ID: message.URIPath, Value: []byte("look")}).Add(message.Option{ID: 2050, Value: []byte("x")})
	if m := roundTrip(t, conn, to, encode(t, elective)); m.Code != codes.Unauthorized || len(m.Payload) > 100 {
		t.Errorf("a long answer to an address that has not proved itself: %v with %d bytes", m.Code, len(m.Payload))
	}
	for n := range 64 { // cut, forged, and as long as a datagram can be
		junk := bytes.Repeat([]byte{byte(n * 37)}, n)
		_, _ = conn.WriteTo(junk, to)
	}
	_, _ = conn.WriteTo(append([]byte{0x40, 1, 9, 9}, bytes.Repeat([]byte{0xff}, 60_000)...), to)
	c, _, _ := device(t, addr, nil, coap.Options{})
	s.setBehavior(respond(200, "short"))
	if got := coapDo(t, c, coap.Request{Code: codes.GET, Path: "look"}); string(got.Body) != "short" {
		t.Errorf("after the junk: %v", got)
	}
	if p.mustDo(request("look", 1000)).status != 200 {
		t.Error("HTTP is not served beside it")
	}
}

// A fifth of the datagrams are lost in each direction, and each is sent twice. Every request gets one response, and no
// unsafe one is executed twice.
func TestCoapOverLossAndDuplicates(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	s := startBackend(t, "s1", func(c net.Conn, g receivedRequest) bool {
		mu.Lock()
		ran[string(g.body)]++
		mu.Unlock()
		return respond(200, "done "+string(g.body))(c, g)
	})
	_, addr := startWithCoap(t, "", s)
	var all sync.WaitGroup
	for d := range 8 {
		bad := netfault.Impairment{Loss: 0.2, Jitter: 5 * time.Millisecond}
		c, _, _ := device(t, addr, netfault.NewLink(bad, bad, uint64(d+1)), coap.Options{AckTimeout: 60 * time.Millisecond, MaxRetransmit: 9, Duplicates: 1})
		all.Go(func() {
			for i := range 12 {
				text := fmt.Sprintf("d%d-%d", d, i)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				got, err := c.Do(ctx, coap.Request{Code: codes.POST, Path: "bill", Body: []byte(text)})
				for err == nil && got.Code == codes.ServiceUnavailable { // refused at the start: trying again is harmless
					got, err = c.Do(ctx, coap.Request{Code: codes.POST, Path: "bill", Body: []byte(text)})
				}
				cancel()
				if errors.Is(err, coap.ErrNoAnswer) || err == nil && got.Code == codes.Changed && string(got.Body) == "done "+text {
					continue
				}
				t.Errorf("%s: %v %q %v", text, got.Code, got.Body, err)
			}
		})
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for text, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", text, n)
		}
	}
	if len(ran) < 90 {
		t.Errorf("%d of 96 bills ran", len(ran))
	}
}

// A planned stop completes the CoAP request in flight and exits with 0.
func TestCoapDrain(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "last")))
	p, addr := startWithCoap(t, "", s)
	c, _, _ := device(t, addr, nil, coap.Options{})
	answered := make(chan coap.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		got, _ := c.Do(ctx, coap.Request{Code: codes.GET, Path: "look"})
		answered <- got
	}()
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	p.terminate()
	eventually(t, "drain", func() bool { return p.logCount(`"code":"drain"`) > 0 })
	close(gate)
	if got := <-answered; string(got.Body) != "last" {
		t.Errorf("what was in flight got %v", got)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
