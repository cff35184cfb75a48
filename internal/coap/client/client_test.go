package client

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
)

// testServer answers each message with the messages that a function returns for it.
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
			if err != nil {
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

// startClient returns a client of a server.
func startClient(t *testing.T, s *testServer, o Options) *Client {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return New(conn, s.conn.LocalAddr(), o)
}

// ackOf returns a response that is piggybacked on the acknowledgement of a message.
func ackOf(m message.Message, code codes.Code, payload string) message.Message {
	return message.Message{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: []byte(payload)}
}

func TestDoAcknowledgesSeparateResponse(t *testing.T) {
	acknowledged := make(chan struct{})
	server := startServer(t, func(m message.Message) []message.Message {
		if m.Type == wire.Ack {
			close(acknowledged)
			return nil
		}
		return []message.Message{ackOf(m, codes.Empty, ""),
			{Type: wire.Con, Code: codes.Content, MessageID: 7, Token: m.Token, Payload: []byte("late"),
				Options: wire.AddUint(nil, message.MaxAge, 9)}}
	})
	got, err := startClient(t, server, Options{}).Do(context.Background(), Request{Code: codes.GET, Path: "/look", Query: []string{"w=7"}})
	if err != nil || got.Code != codes.Content || string(got.Body) != "late" || got.MaxAge != 9 {
		t.Errorf("got %+v, %v; want Content, body \"late\", MaxAge 9", got, err)
	}
	select {
	case <-acknowledged:
	case <-time.After(10 * time.Second):
		t.Error("the separate response was not acknowledged within 10 s")
	}
	sent := server.requests()[0]
	if path, query := wire.Strings(&sent, message.URIPath), wire.Strings(&sent, message.URIQuery); !slices.Equal(path, []string{"look"}) || !slices.Equal(query, []string{"w=7"}) {
		t.Errorf("got path %q, query %q; want look, w=7", path, query)
	}
}

// A long body must be sent in blocks, the response must be received in blocks, and an Echo challenge must be answered
// with the value that the server issued.
func TestDoTransfersBlocksAndAnswersEchoChallenge(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 30)
	var upload []byte
	server := startServer(t, func(m message.Message) []message.Message {
		response := ackOf(m, codes.Continue, "")
		if value, present := wire.Bytes(&m, message.Echo); !present || string(value) != "proof" {
			response.Code = codes.Unauthorized
			response.Options = response.Options.Add(message.Option{ID: message.Echo, Value: []byte("proof")})
			return []message.Message{response}
		}
		if block, present, _ := wire.Block(&m, message.Block1); present {
			upload = append(upload, m.Payload...)
			if block.More {
				return []message.Message{response}
			}
		}
		requested, _, _ := wire.Block(&m, message.Block2)
		part, block, _ := blocks.Block{Num: requested.Num, SZX: 3}.Slice(upload)
		response.Code = codes.Changed
		response.Payload = part
		response.Options = wire.AddUint(nil, message.Block2, block.Value())
		return []message.Message{response}
	})
	got, err := startClient(t, server, Options{SZX: 2}).Do(context.Background(), Request{Code: codes.POST, Path: "bill", Body: body})
	if err != nil || got.Code != codes.Changed || !bytes.Equal(got.Body, body) {
		t.Errorf("got %v with %d bytes of %d, error %v; want Changed with all bytes", got.Code, len(got.Body), len(body), err)
	}
}

// The second block of the response is not the requested one, or has an invalid option. The call must fail, because its
// body would be truncated or have a repeated part.
func TestDoRejectsMismatchedResponseBlocks(t *testing.T) {
	const reservedSize = 7
	for name, secondBlock := range map[string]uint32{
		"the first block repeated": blocks.Block{Num: 0}.Value(),
		"a skipped block":          blocks.Block{Num: 2}.Value(),
		"a reserved size exponent": 1<<4 | reservedSize,
	} {
		server := startServer(t, func(m message.Message) []message.Message {
			response := ackOf(m, codes.Content, "0123456789abcdef")
			option := blocks.Block{Num: 0, More: true}.Value()
			if _, present, _ := wire.Block(&m, message.Block2); present {
				option = secondBlock
			}
			response.Options = wire.AddUint(nil, message.Block2, option)
			return []message.Message{response}
		})
		if got, err := startClient(t, server, Options{}).Do(context.Background(), Request{Code: codes.GET, Path: "look"}); err == nil {
			t.Errorf("%s: got a response of %d bytes, want an error", name, len(got.Body))
		}
	}
}

// If a server never answers, a confirmable message must be retransmitted MaxRetransmit times with the same id, and a
// non-confirmable message must be sent only once.
func TestDoRetransmitsUntilLimit(t *testing.T) {
	for name, c := range map[string]struct {
		options Options
		sent    int
	}{
		"confirmable":     {Options{AckTimeout: time.Millisecond, MaxRetransmit: 3}, 4},
		"non-confirmable": {Options{AckTimeout: time.Millisecond, MaxRetransmit: 3, NonConfirmable: true}, 1},
		"duplicates":      {Options{AckTimeout: time.Millisecond, MaxRetransmit: 1, Duplicates: 2}, 6},
	} {
		server := startServer(t, func(message.Message) []message.Message { return nil })
		_, err := startClient(t, server, c.options).Do(context.Background(), Request{Code: codes.GET, Path: "look"})
		if !errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: error = %v, want ErrNoAnswer", name, err)
		}
		deadline := time.Now().Add(10 * time.Second)
		for len(server.requests()) < c.sent && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		sent := server.requests()
		if len(sent) != c.sent {
			t.Errorf("%s: sent %d datagrams, want %d", name, len(sent), c.sent)
			continue
		}
		for _, m := range sent {
			if m.MessageID != sent[0].MessageID {
				t.Errorf("%s: got message ids %d and %d, want the same id", name, m.MessageID, sent[0].MessageID)
			}
		}
	}
}

func TestDoReturnsContextErrorAtDeadline(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return []message.Message{ackOf(m, codes.Empty, "")} })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := startClient(t, server, Options{}).Do(ctx, Request{Code: codes.GET, Path: "look"}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error = %v, want context.DeadlineExceeded", err)
	}
}

// If a context without a deadline is cancelled while the client waits for a response, the call must end immediately
// and not at the acknowledgement timeout.
func TestDoReturnsContextErrorWhenCancelled(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return []message.Message{ackOf(m, codes.Empty, "")} })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	ended := make(chan error, 1)
	client := startClient(t, server, Options{AckTimeout: time.Minute})
	go func() {
		_, err := client.Do(ctx, Request{Code: codes.GET, Path: "look"})
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error = %v, want context.Canceled", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the call did not return within 10 s after its context was cancelled")
	}
}

// If a call is cancelled at about the time its response arrives, the interruption must not affect the next call on the
// same socket. That call would treat it as a missing response and retransmit its message.
func TestCancelDoesNotInterruptNextCall(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return []message.Message{ackOf(m, codes.Content, "done")} })
	client := startClient(t, server, Options{AckTimeout: time.Minute})
	const calls = 500
	for range calls {
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		_, _ = client.Do(ctx, Request{Code: codes.GET, Path: "first"})
		if got, err := client.Do(context.Background(), Request{Code: codes.GET, Path: "second"}); err != nil || string(got.Body) != "done" {
			t.Fatalf("got %+v, %v; want body \"done\"", got, err)
		}
	}
	transmissions := 0
	for _, m := range server.requests() {
		if path := wire.Strings(&m, message.URIPath); slices.Equal(path, []string{"second"}) {
			transmissions++
		}
	}
	if transmissions != calls {
		t.Errorf("%d calls caused %d transmissions, want one per call", calls, transmissions)
	}
}

func TestSplitQuery(t *testing.T) {
	for raw, want := range map[string][]string{
		"":                 nil,
		"w=7&tenant=t%201": {"w=7", "tenant=t 1"},
		"bad=%zz":          {"bad=%zz"},
	} {
		if got := splitQuery(raw); !slices.Equal(got, want) {
			t.Errorf("splitQuery(%q) = %q, want %q", raw, got, want)
		}
	}
}
