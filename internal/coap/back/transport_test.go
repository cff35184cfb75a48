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

// largeBody is a request body that is stored outside memory.
type largeBody struct{ engine.RequestBody }

// OutgoingRequest.Bytes does not contain the whole request if its body is large. A server would treat these bytes as a
// complete request. The attempt must therefore end as not sent, so that another server can run the request.
func TestSendReportsNotSentForLargeBody(t *testing.T) {
	var count counters.CoapServers
	completions := make(chan engine.Completion, 1)
	New(Options{Count: &count}).Send("s1", engine.OutgoingRequest{Bytes: []byte("POST / HTTP/1.1\r\n\r\n"), Body: largeBody{}},
		func(completion engine.Completion) { completions <- completion })
	select {
	case completion := <-completions:
		if completion.Outcome != balancer.NotSent || count.Outcomes.Get("unsent") != 1 {
			t.Errorf("outcome = %s, want void, counted once", engine.OutcomeName(completion.Outcome))
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no completion within 10 s")
	}
}

// resolver returns the same address for every server; an empty address means that the server is unknown.
type resolver string

func (r resolver) Address(balancer.ServerID) (string, bool) { return string(r), r != "" }

func (r resolver) Groups(balancer.ServerID) (string, int, bool) { return "", 0, false }

// testServer answers each confirmable message with the messages that a function returns for it.
type testServer struct {
	conn net.PacketConn

	mu       sync.Mutex
	received []message.Message
}

// startServer starts a server that runs until the test ends.
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

// requests returns the messages that the server has received.
func (s *testServer) requests() []message.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// startTransport returns a transport that resolves every server to one address, and its counters.
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

// attemptRequest returns a request that increments written each time it is reported as written.
func attemptRequest(raw string, written *int) engine.OutgoingRequest {
	return engine.OutgoingRequest{
		Bytes:     []byte(raw),
		OnWritten: func() { *written++ },
	}
}

const getRequest = "GET /look/at?w=7 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 90\r\nX-Class: look\r\n\r\n"

// waitForCompletion waits for the completion of an attempt or a probe.
func waitForCompletion(t *testing.T, completions chan engine.Completion) engine.Completion {
	t.Helper()
	select {
	case completion := <-completions:
		return completion
	case <-time.After(10 * time.Second):
		t.Fatal("no completion within 10 s")
	}
	panic("unreachable")
}

func TestSendReturnsOutcomeOfResponse(t *testing.T) {
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
			completions := make(chan engine.Completion, 1)
			transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { completions <- e })
			completion := waitForCompletion(t, completions)
			if completion.Outcome != c.outcome || string(completion.Body) != c.body || written != 1 || count.Outcomes.Get(c.counter) != 1 {
				t.Errorf("got outcome %s, body %q, written %d times; want outcome %s, body %q, written once, counted once as %q",
					engine.OutcomeName(completion.Outcome), completion.Body, written, engine.OutcomeName(c.outcome), c.body, c.counter)
			}
		})
	}
}

// The path, query, request id, deadline and class of a request must be kept when it is converted to CoAP, and the load
// report of the response must be read.
func TestSendConvertsRequestToCoAP(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message {
		return []message.Message{{Type: wire.Ack, Code: codes.Content, MessageID: m.MessageID, Token: m.Token,
			Options: message.Options{}.Add(message.Option{ID: OptLoad, Value: []byte("12345")})}}
	})
	transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
	written := 0
	completions := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { completions <- e })
	if completion := waitForCompletion(t, completions); completion.Report.InFlight != 5 {
		t.Errorf("load report = %+v, want InFlight = 5, the length of the option's value", completion.Report)
	}
	requests := server.requests()
	if len(requests) != 1 {
		t.Fatalf("got %d requests, want 1", len(requests))
	}
	m := requests[0]
	if path, query := wire.Strings(&m, message.URIPath), wire.Strings(&m, message.URIQuery); m.Code != codes.GET ||
		!slices.Equal(path, []string{"look", "at"}) || !slices.Equal(query, []string{"w=7"}) {
		t.Errorf("got %v, path %q, query %q; want GET, path look/at, query w=7", m.Code, path, query)
	}
	for id, want := range map[message.OptionID]string{OptRequestID: "r1", OptDeadline: "90", OptClass: "look"} {
		if value, _ := wire.Bytes(&m, id); string(value) != want {
			t.Errorf("option %d = %q, want %q", id, value, want)
		}
	}
}

// A body longer than one block must be sent in blocks, and a response must be received in blocks. The attempt must be
// reported as written once, with the last block.
func TestSendTransfersBodiesInBlocks(t *testing.T) {
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
		requested, _, _ := wire.Block(&m, message.Block2)
		part, block, _ := blocks.Block{Num: requested.Num, SZX: 5}.Slice(upload)
		response.Code = codes.Changed
		response.Payload = part
		response.Options = wire.AddUint(nil, message.Block2, block.Value())
		return []message.Message{response}
	})
	transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
	head := "POST /bill HTTP/1.1\r\nHost: a\r\nContent-Length: 2500\r\n\r\n"
	completions := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(head+string(body), &written), func(e engine.Completion) { completions <- e })
	completion := waitForCompletion(t, completions)
	mu.Lock()
	defer mu.Unlock()
	if completion.Outcome != balancer.OK || !bytes.Equal(completion.Body, body) || !bytes.Equal(upload, body) || written != 1 {
		t.Errorf("got outcome %s and %d of %d bytes, %d bytes uploaded, written %d times; want OK, both bodies complete, written once",
			engine.OutcomeName(completion.Outcome), len(completion.Body), len(body), len(upload), written)
	}
}

// If a server answers with a block that was not requested, the client must not get a body with a gap or a repeated
// part, and the attempt must not be reported as not run, because it has run.
func TestSendRejectsMismatchedResponseBlocks(t *testing.T) {
	for name, secondBlock := range map[string]uint32{
		"the first block repeated": blocks.Block{Num: 0}.Value(),
		"a skipped block":          blocks.Block{Num: 2}.Value(),
	} {
		server := startServer(t, func(m message.Message) []message.Message {
			option := blocks.Block{Num: 0, More: true}.Value()
			if _, present, _ := wire.Block(&m, message.Block2); present {
				option = secondBlock
			}
			return []message.Message{{Type: wire.Ack, Code: codes.Content, MessageID: m.MessageID, Token: m.Token,
				Payload: []byte("0123456789abcdef"), Options: wire.AddUint(nil, message.Block2, option)}}
		})
		transport, _ := startTransport(Scheme + server.conn.LocalAddr().String())
		written := 0
		completions := make(chan engine.Completion, 1)
		transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { completions <- e })
		if completion := waitForCompletion(t, completions); completion.Outcome != balancer.ConnectionLost {
			t.Errorf("%s: outcome = %s with %d bytes, want broken", name, engine.OutcomeName(completion.Outcome), len(completion.Body))
		}
	}
}

// The kernel does not report which datagram reached a closed port. The request may have run in the previous process of
// the server, so its outcome must not mean that it has not run.
func TestSendReportsConnectionLostForClosedPort(t *testing.T) {
	server := startServer(t, nil)
	address := server.conn.LocalAddr().String()
	_ = server.conn.Close()
	transport, _ := startTransport(Scheme + address)
	written := 0
	completions := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { completions <- e })
	if completion := waitForCompletion(t, completions); completion.Outcome != balancer.ConnectionLost {
		t.Errorf("outcome = %s, want broken", engine.OutcomeName(completion.Outcome))
	}
}

// A lost request must be retransmitted with the same message id. Abort must report that the attempt was written, and
// the aborted attempt must not report a completion.
func TestSendRetransmitsUntilAborted(t *testing.T) {
	retransmitted := make(chan struct{})
	received := 0
	server := startServer(t, func(message.Message) []message.Message {
		received++
		if received == 2 {
			close(retransmitted)
		}
		return nil
	})
	transport, count := startTransport(Scheme + server.conn.LocalAddr().String())
	written := 0
	a := transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) {
		t.Errorf("an aborted attempt reported the outcome %s, want no completion", engine.OutcomeName(e.Outcome))
	})
	select {
	case <-retransmitted:
	case <-time.After(10 * time.Second):
		t.Fatal("the message was not retransmitted within 10 s")
	}
	if !a.Abort() {
		t.Error("Abort() = false for an attempt that was written, want true")
	}
	requests := server.requests()
	if len(requests) < 2 || requests[0].MessageID != requests[1].MessageID || count.Retransmits.Get() < 1 {
		t.Errorf("got %d requests, %d retransmissions; want at least 2 with the same id, and 1", len(requests), count.Retransmits.Get())
	}
}

// At the limit of exchanges an attempt must end as not sent, so that it is not counted against the server.
func TestSendReportsNotSentAtExchangeLimit(t *testing.T) {
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
	completions := make(chan engine.Completion, 1)
	transport.Send("s1", attemptRequest(getRequest, &written), func(e engine.Completion) { completions <- e })
	if completion := waitForCompletion(t, completions); completion.Outcome != balancer.NotSent || written != 0 || count.Outcomes.Get("unsent") != 1 {
		t.Errorf("outcome = %s, written %d times; want void, counted once, and never written", engine.OutcomeName(completion.Outcome), written)
	}
}

func TestProbeReturnsOutcomeOfServerState(t *testing.T) {
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
		{"not listed", "", 10 * time.Second, balancer.NotSent},
	} {
		transport, _ := startTransport(c.address)
		completions := make(chan engine.Completion, 1)
		transport.Probe("s1", c.within, func(e engine.Completion) { completions <- e })
		if completion := waitForCompletion(t, completions); completion.Outcome != c.want {
			t.Errorf("%s: outcome = %s, want %s", c.name, engine.OutcomeName(completion.Outcome), engine.OutcomeName(c.want))
		}
	}
}

// If this node has reached its limit of exchanges with a server, or its machine has no socket or route, this shows
// nothing about the server: neither a probe nor an attempt may count toward its ejection.
func TestProbeReportsNotSentForLocalFailure(t *testing.T) {
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
	completions := make(chan engine.Completion, 1)
	transport.Probe("s1", 10*time.Second, func(e engine.Completion) { completions <- e })
	if completion := waitForCompletion(t, completions); completion.Outcome != balancer.NotSent {
		t.Errorf("at the limit of exchanges: outcome = %s, want void", engine.OutcomeName(completion.Outcome))
	}
	for errno, want := range map[syscall.Errno]balancer.Outcome{
		syscall.EMFILE: balancer.NotSent, syscall.ENFILE: balancer.NotSent, syscall.ENOBUFS: balancer.NotSent, syscall.EADDRNOTAVAIL: balancer.NotSent,
		syscall.ENETUNREACH: balancer.NotSent, syscall.EHOSTUNREACH: balancer.Unreachable, syscall.ECONNREFUSED: balancer.Unreachable,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
		if got := acquireOutcome(err); got != want {
			t.Errorf("acquireOutcome(%v) = %s, want %s", errno, engine.OutcomeName(got), engine.OutcomeName(want))
		}
	}
}

func TestHandlesOnlyCoAPAddresses(t *testing.T) {
	for address, want := range map[string]bool{"coap://10.0.0.1:5683": true, "10.0.0.1:8080": false, "": false} {
		transport, _ := startTransport(address)
		if got := transport.Handles("s1"); got != want {
			t.Errorf("address %q: Handles() = %v, want %v", address, got, want)
		}
	}
}
