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

// requests gives what the server has received.
func (s *testServer) requests() []message.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// startClient makes a client of a server.
func startClient(t *testing.T, s *testServer, o Options) *Client {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return New(conn, s.conn.LocalAddr(), o)
}

// ackOf is a response in the acknowledgement of a message.
func ackOf(m message.Message, code codes.Code, payload string) message.Message {
	return message.Message{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: []byte(payload)}
}

func TestSeparateResponse(t *testing.T) {
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
		t.Errorf("%+v, %v", got, err)
	}
	select {
	case <-acknowledged:
	case <-time.After(10 * time.Second):
		t.Error("the separate response was not acknowledged")
	}
	sent := server.requests()[0]
	if path, query := wire.Strings(&sent, message.URIPath), wire.Strings(&sent, message.URIQuery); !slices.Equal(path, []string{"look"}) || !slices.Equal(query, []string{"w=7"}) {
		t.Errorf("path %q, query %q", path, query)
	}
}

// A long body goes out in blocks, the response comes back in blocks, and the server's Echo challenge is answered with the value
// that it gave.
func TestBlocksAndEcho(t *testing.T) {
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
		asked, _, _ := wire.Block(&m, message.Block2)
		part, block, _ := blocks.Block{Num: asked.Num, SZX: 3}.Slice(upload)
		response.Code = codes.Changed
		response.Payload = part
		response.Options = wire.AddUint(nil, message.Block2, block.Value())
		return []message.Message{response}
	})
	got, err := startClient(t, server, Options{SZX: 2}).Do(context.Background(), Request{Code: codes.POST, Path: "bill", Body: body})
	if err != nil || got.Code != codes.Changed || !bytes.Equal(got.Body, body) {
		t.Errorf("%v with %d bytes of %d: %v", got.Code, len(got.Body), len(body), err)
	}
}

// A response whose second block is another one than was asked for, or has an option that cannot be read, is no whole response. The call
// must fail rather than give a body that is cut short or has a part twice.
func TestResponseWithBrokenBlocks(t *testing.T) {
	const reservedSize = 7
	for name, second := range map[string]uint32{
		"the first block again":      blocks.Block{Num: 0}.Value(),
		"a block left out":           blocks.Block{Num: 2}.Value(),
		"an option of reserved size": 1<<4 | reservedSize,
	} {
		server := startServer(t, func(m message.Message) []message.Message {
			response := ackOf(m, codes.Content, "0123456789abcdef")
			option := blocks.Block{Num: 0, More: true}.Value()
			if _, present, _ := wire.Block(&m, message.Block2); present {
				option = second
			}
			response.Options = wire.AddUint(nil, message.Block2, option)
			return []message.Message{response}
		})
		if got, err := startClient(t, server, Options{}).Do(context.Background(), Request{Code: codes.GET, Path: "look"}); err == nil {
			t.Errorf("%s: taken for a whole response of %d bytes", name, len(got.Body))
		}
	}
}

// A server that never answers gets the message as often as the standard says, under one id; a non-confirmable one it gets once.
func TestRetransmission(t *testing.T) {
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
			t.Errorf("%s: %v, want ErrNoAnswer", name, err)
		}
		deadline := time.Now().Add(10 * time.Second)
		for len(server.requests()) < c.sent && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		sent := server.requests()
		if len(sent) != c.sent {
			t.Errorf("%s: sent %d times, want %d", name, len(sent), c.sent)
			continue
		}
		for _, m := range sent {
			if m.MessageID != sent[0].MessageID {
				t.Errorf("%s: ids %d and %d", name, m.MessageID, sent[0].MessageID)
			}
		}
	}
}

func TestContextEndsTheWait(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return []message.Message{ackOf(m, codes.Empty, "")} })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := startClient(t, server, Options{}).Do(ctx, Request{Code: codes.GET, Path: "look"}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, want the context's error", err)
	}
}

// A context without a deadline is cancelled while the client waits for a response. The call ends at once, not when the timeout of
// the acknowledgement does.
func TestCancelEndsTheWait(t *testing.T) {
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
			t.Errorf("%v, want the context's error", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the call goes on though its context is cancelled")
	}
}

// A call is cancelled at about the time of its answer. Its interruption must not reach into the next call on the same socket, which
// would take it for silence and send its message again.
func TestInterruptionEndsWithItsCall(t *testing.T) {
	server := startServer(t, func(m message.Message) []message.Message { return []message.Message{ackOf(m, codes.Content, "done")} })
	client := startClient(t, server, Options{AckTimeout: time.Minute})
	const calls = 500
	for range calls {
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		_, _ = client.Do(ctx, Request{Code: codes.GET, Path: "first"})
		if got, err := client.Do(context.Background(), Request{Code: codes.GET, Path: "second"}); err != nil || string(got.Body) != "done" {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	seconds := 0
	for _, m := range server.requests() {
		if path := wire.Strings(&m, message.URIPath); slices.Equal(path, []string{"second"}) {
			seconds++
		}
	}
	if seconds != calls {
		t.Errorf("%d calls were sent %d times", calls, seconds)
	}
}

func TestSplitQuery(t *testing.T) {
	for raw, want := range map[string][]string{
		"":                 nil,
		"w=7&tenant=t%201": {"w=7", "tenant=t 1"},
		"bad=%zz":          {"bad=%zz"},
	} {
		if got := splitQuery(raw); !slices.Equal(got, want) {
			t.Errorf("%q: %q, want %q", raw, got, want)
		}
	}
}
