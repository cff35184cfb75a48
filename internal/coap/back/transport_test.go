package back

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// largeBody is a body that is not in memory.
type largeBody struct{ engine.RequestBody }

// Only the part of a large body that is in memory could be sent, and the server would take it for the whole request. So the
// attempt ends unsent, and another server may take it.
func TestLargeBodiesAreNotSent(t *testing.T) {
	var count counters.CoapServers
	ended := make(chan engine.Completion, 1)
	New(Options{Count: &count}).Send("s1", engine.OutgoingRequest{Bytes: []byte("POST / HTTP/1.1\r\n\r\n"), Body: largeBody{}},
		func(e engine.Completion) { ended <- e })
	select {
	case e := <-ended:
		if e.Outcome != balancer.NotSent || count.Outcomes.Get("unsent") != 1 {
			t.Errorf("ended as %s", engine.OutcomeName(e.Outcome))
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no end")
	}
}

// resolver knows the one server s1.
type resolver string

func (r resolver) Address(balancer.ServerID) (string, bool) { return string(r), r != "" }

// testServer answers datagrams with what a function gives for them.
type testServer struct {
	conn net.PacketConn

	mu       sync.Mutex
	received []message.Message
}

// startServer starts a server that lasts as long as the test.
func startServer(t *testing.T, respond func(message.Message) []message.Message) *testServer {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s := &testServer{conn: conn}
	go func() {
		buffer := make([]byte, readBufferSize)
		for {
			n, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			m, err := wire.Decode(bytes.Clone(buffer[:n]))
			if err != nil || m.Type != wire.Con {
				continue
			}
			s.mu.Lock()
			s.received = append(s.received, m)
			s.mu.Unlock()
			for _, response := range respond(m) {
				if datagram, err := wire.Encode(response); err == nil {
					_, _ = conn.WriteTo(datagram, from)
				}
			}
		}
	}()
	return s
}

// requests gives what the server has received.
func (s *testServer) requests() []message.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// startTransport makes a transport that knows one address.
func startTransport(address string) (*Transport, *counters.CoapServers) {
	count := &counters.CoapServers{}
	return New(Options{
		Resolver:         resolver(address),
		MaxExchanges:     2,
		RetransmitWindow: time.Second,
		ParseLoad:        func(report []byte) balancer.LoadReport { return balancer.LoadReport{InFlight: float64(len(report))} },
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count:            count,
	}), count
}

// attemptRequest is a request; written counts how often it is reported as written.
func attemptRequest(raw string, written *int) engine.OutgoingRequest {
	return engine.OutgoingRequest{
		Bytes:     []byte(raw),
		OnWritten: func() { *written++ },
	}
}

const getRequest = "GET /look/at?w=7 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 90\r\nX-Class: look\r\n\r\n"

// waitEnd waits for the end of an attempt or a probe.
func waitEnd(t *testing.T, ended chan engine.Completion) engine.Completion {
	t.Helper()
	select {
	case end := <-ended:
		return end
	case <-time.After(10 * time.Second):
		t.Fatal("no end")
	}
	panic("unreachable")
}

func TestOutcomes(t *testing.T) {
	ack := func(m message.Message, code codes.Code, payload string) message.Message {
		return message.Message{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: []byte(payload)}
	}
	for name, c := range map[string]struct {
		respond func(message.Message) []message.Message
		outcome balancer.Outcome
		counter string
		body    string
	}{
		"in the acknowledgement": {func(m message.Message) []message.Message {
			return []message.Message{ack(m, codes.Content, "done")}
		}, balancer.OK, "ok", "done"},
		"separate": {func(m message.Message) []message.Message {
			return []message.Message{ack(m, codes.Empty, ""),
				{Type: wire.Con, Code: codes.Content, MessageID: 777, Token: m.Token, Payload: []byte("done")}}
		}, balancer.OK, "ok", "done"},
		"rejected": {func(m message.Message) []message.Message {
			return []message.Message{{Type: wire.Rst, MessageID: m.MessageID}}
		}, balancer.Unreachable, "unreachable", ""},
		"overloaded": {func(m message.Message) []message.Message {
			return []message.Message{ack(m, codes.ServiceUnavailable, "")}
		}, balancer.Overloaded, "turned_away", ""},
		"an error": {func(m message.Message) []message.Message {
			return []message.Message{ack(m, codes.InternalServerError, "")}
		}, balancer.Errored, "error", ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, c.respond)
			transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
			written := 0
			ended := make(chan engine.Completion, 1)
			transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { ended <- e })
			end := waitEnd(t, ended)
			if end.Outcome != c.outcome || string(end.Body) != c.body || written != 1 || count.Outcomes.Get(c.counter) != 1 {
				t.Errorf("ended as %s with %q, written %d times", engine.OutcomeName(end.Outcome), end.Body, written)
			}
		})
	}
}

// A request keeps its path, query, id, deadline and class on the way into CoAP.
func TestRequestIsConverted(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message {
		return []message.Message{{Type: wire.Ack, Code: codes.Content, MessageID: m.MessageID, Token: m.Token,
			Options: message.Options{}.Add(message.Option{ID: OptLoad, Value: []byte("12345")})}}
	})
	transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
	written := 0
	ended := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { ended <- e })
	if end := waitEnd(t, ended); end.Report.InFlight != 5 {
		t.Errorf("load report %+v, want the option's value read", end.Report)
	}
	requests := server.requests()
	if len(requests) != 1 {
		t.Fatalf("%d requests", len(requests))
	}
	m := requests[0]
	if path, query := wire.Strings(&m, message.URIPath), wire.Strings(&m, message.URIQuery); m.Code != codes.GET ||
		!slices.Equal(path, []string{"look", "at"}) || !slices.Equal(query, []string{"w=7"}) {
		t.Errorf("%v %v %v", m.Code, path, query)
	}
	for id, want := range map[message.OptionID]string{OptRequestID: "r1", OptDeadline: "90", OptClass: "look"} {
		if value, _ := wire.Bytes(&m, id); string(value) != want {
			t.Errorf("option %d is %q, want %q", id, value, want)
		}
	}
}

// A body beyond one block goes out in blocks, a response comes back in blocks, and the attempt counts as written once, with
// the last block.
func TestBlocksBothWays(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 250)
	var mu sync.Mutex
	var upload []byte
	written := 0
	server := startServer(t, func(m message.Message) []message.Message {
		mu.Lock()
		defer mu.Unlock()
		response := message.Message{Type: wire.Ack, Code: codes.Continue, MessageID: m.MessageID, Token: m.Token}
		if block, present, _ := wire.Block(&m, message.Block1); present {
			upload = append(upload, m.Payload...)
			if block.More {
				response.Options = wire.AddUint(nil, message.Block1, block.Value())
				return []message.Message{response}
			}
		}
		asked, _, _ := wire.Block(&m, message.Block2)
		part, block, _ := blocks.Block{Num: asked.Num, SZX: 5}.Slice(upload)
		response.Code = codes.Changed
		response.Payload = part
		response.Options = wire.AddUint(nil, message.Block2, block.Value())
		return []message.Message{response}
	})
	transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
	head := "POST /bill HTTP/1.1\r\nHost: a\r\nContent-Length: 2500\r\n\r\n"
	ended := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(head+string(body), &written), func(e engine.Completion) { ended <- e })
	end := waitEnd(t, ended)
	mu.Lock()
	defer mu.Unlock()
	if end.Outcome != balancer.OK || !bytes.Equal(end.Body, body) || !bytes.Equal(upload, body) || written != 1 {
		t.Errorf("ended as %s with %d bytes of %d, %d uploaded, written %d times",
			engine.OutcomeName(end.Outcome), len(end.Body), len(body), len(upload), written)
	}
}

// A server answers with another block than was asked for. The client must not get a body that has a part twice or a gap, and what has run
// must not be reported as never run.
func TestResponseWithBrokenBlocks(t *testing.T) {
	for name, second := range map[string]uint32{
		"the first block again": blocks.Block{Num: 0}.Value(),
		"a block left out":      blocks.Block{Num: 2}.Value(),
	} {
		server := startServer(t, func(m message.Message) []message.Message {
			option := blocks.Block{Num: 0, More: true}.Value()
			if _, present, _ := wire.Block(&m, message.Block2); present {
				option = second
			}
			return []message.Message{{Type: wire.Ack, Code: codes.Content, MessageID: m.MessageID, Token: m.Token,
				Payload: []byte("0123456789abcdef"), Options: wire.AddUint(nil, message.Block2, option)}}
		})
		transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
		written := 0
		ended := make(chan engine.Completion, 1)
		transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { ended <- e })
		if end := waitEnd(t, ended); end.Outcome != balancer.ConnectionLost {
			t.Errorf("%s: ended as %s with %d bytes, want broken", name, engine.OutcomeName(end.Outcome), len(end.Body))
		}
	}
}

// Where nobody listens the kernel reports it, for whichever datagram: the request may have run at the process before, so the
// end must not promise that it did not.
func TestClosedPortMayHaveRun(t *testing.T) {
	server := startServer(t, nil)
	address := server.conn.LocalAddr().String()
	_ = server.conn.Close()
	transport, _ := startTransport(Scheme + address)
	written := 0
	ended := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { ended <- e })
	if end := waitEnd(t, ended); end.Outcome != balancer.ConnectionLost {
		t.Errorf("ended as %s, want broken", engine.OutcomeName(end.Outcome))
	}
}

// A lost request is sent again under its id, and an aborted attempt reports nothing but whether it was written.
func TestRetransmitAndAbort(t *testing.T) {
	again := make(chan struct{})
	received := 0
	server := startServer(t, func(message.Message) []message.Message {
		received++
		if received == 2 {
			close(again)
		}
		return nil
	})
	transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
	written := 0
	a := transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) {
		t.Errorf("an aborted attempt ended as %s", engine.OutcomeName(e.Outcome))
	})
	select {
	case <-again:
	case <-time.After(10 * time.Second):
		t.Fatal("the message was not sent again")
	}
	if !a.Abort() {
		t.Error("an attempt that was written is reported as not written")
	}
	requests := server.requests()
	if len(requests) < 2 || requests[0].MessageID != requests[1].MessageID || count.Retransmits.Get() < 1 {
		t.Errorf("%d requests, %d retransmits counted", len(requests), count.Retransmits.Get())
	}
}

// Beyond the limit of exchanges an attempt ends unsent, which is not held against the server.
func TestTooManyExchanges(t *testing.T) {
	server := startServer(t, func(message.Message) []message.Message { return nil })
	address := server.conn.LocalAddr().String()
	transport, count := startTransport(Scheme + address)
	for range 2 {
		conn, err := transport.acquire(address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.release()
	}
	written := 0
	ended := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { ended <- e })
	if end := waitEnd(t, ended); end.Outcome != balancer.NotSent || written != 0 || count.Outcomes.Get("unsent") != 1 {
		t.Errorf("ended as %s, written %d times", engine.OutcomeName(end.Outcome), written)
	}
}

func TestProbe(t *testing.T) {
	alive := startServer(t, func(m message.Message) []message.Message {
		return []message.Message{{Type: wire.Rst, MessageID: m.MessageID}}
	})
	silent := startServer(t, func(message.Message) []message.Message { return nil })
	closed := startServer(t, nil)
	_ = closed.conn.Close()
	for _, c := range []struct {
		name    string
		address string
		within  time.Duration
		want    balancer.Outcome
	}{
		{"alive", Scheme + alive.conn.LocalAddr().String(), 10 * time.Second, balancer.OK},
		{"silent", Scheme + silent.conn.LocalAddr().String(), 50 * time.Millisecond, balancer.TimedOut},
		{"closed", Scheme + closed.conn.LocalAddr().String(), 10 * time.Second, balancer.Unreachable},
		{"not listed", "", 10 * time.Second, balancer.Unreachable},
	} {
		transport, _ := startTransport(c.address)
		ended := make(chan engine.Completion, 1)
		transport.Probe("s1", c.within, func(e engine.Completion) { ended <- e })
		if end := waitEnd(t, ended); end.Outcome != c.want {
			t.Errorf("%s: %s, want %s", c.name, engine.OutcomeName(end.Outcome), engine.OutcomeName(c.want))
		}
	}
}

// This node has as many exchanges with a server as it may, or its machine has no socket or route: that says nothing of the server, for a
// probe as little as for an attempt, and must not count toward its ejection.
func TestProbeThatThisNodeCannotSend(t *testing.T) {
	server := startServer(t, nil)
	address := server.conn.LocalAddr().String()
	transport, _ := startTransport(Scheme + address)
	for range 2 {
		conn, err := transport.acquire(address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.release()
	}
	ended := make(chan engine.Completion, 1)
	transport.Probe("s1", 10*time.Second, func(e engine.Completion) { ended <- e })
	if end := waitEnd(t, ended); end.Outcome != balancer.NotSent {
		t.Errorf("at the limit: %s, want void", engine.OutcomeName(end.Outcome))
	}
	for errno, want := range map[syscall.Errno]balancer.Outcome{
		syscall.EMFILE: balancer.NotSent, syscall.ENFILE: balancer.NotSent, syscall.ENOBUFS: balancer.NotSent, syscall.EADDRNOTAVAIL: balancer.NotSent,
		syscall.ENETUNREACH: balancer.NotSent, syscall.EHOSTUNREACH: balancer.Unreachable, syscall.ECONNREFUSED: balancer.Unreachable,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
		if got := acquireOutcome(err); got != want {
			t.Errorf("%v: %s, want %s", errno, engine.OutcomeName(got), engine.OutcomeName(want))
		}
	}
}

func TestHandles(t *testing.T) {
	for address, want := range map[string]bool{"coap://10.0.0.1:5683": true, "10.0.0.1:8080": false, "": false} {
		transport, _ := startTransport(address)
		if got := transport.Handles("s1"); got != want {
			t.Errorf("%q: %v, want %v", address, got, want)
		}
	}
}
