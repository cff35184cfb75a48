package main

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/lab/netfault"
)

// coapServer is a small CoAP backend that acts as it is told on each datagram.
type coapServer struct {
	addr string
	conn net.PacketConn

	mu   sync.Mutex
	act  func(n int, m *message.Message) []message.Message // the n-th datagram, from 0; what it gives is sent
	seen []message.Message
	at   []time.Time
}

func startCoapServer(t *testing.T, l *netfault.Link, act func(int, *message.Message) []message.Message) *coapServer {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &coapServer{addr: conn.LocalAddr().String(), conn: conn, act: act}
	t.Cleanup(func() { _ = conn.Close() })
	if l != nil {
		s.conn = l.WrapPacket(conn)
	}
	go s.run()
	return s
}

func (s *coapServer) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		m, err := wire.Decode(bytes.Clone(buf[:n]))
		if err != nil || m.Type != wire.Con {
			continue
		}
		s.mu.Lock()
		out := s.act(len(s.seen), &m)
		s.seen, s.at = append(s.seen, m), append(s.at, time.Now())
		s.mu.Unlock()
		for _, o := range out {
			if b, err := wire.Encode(o); err == nil {
				_, _ = s.conn.WriteTo(b, from)
			}
		}
	}
}

// messages gives what came, and the different ids among them.
func (s *coapServer) messages() (all, different int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[int32]bool{}
	for _, m := range s.seen {
		ids[m.MessageID] = true
	}
	return len(s.seen), len(ids)
}

// reply is an answer in the acknowledgement.
func piggyback(m *message.Message, code codes.Code, body string) []message.Message {
	return []message.Message{{Type: wire.Ack, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: []byte(body),
		Options: message.Options{}.Add(message.Option{ID: back.OptLoad, Value: []byte("inflight=2")})}}
}

// withCoapServers starts a node whose servers stand in its operator file.
func withCoapServers(t *testing.T, addrs ...string) *process {
	t.Helper()
	edge := filepath.Join(t.TempDir(), "edge.toml")
	text := "[inventory]\ndiscovery = false\n"
	for i, a := range addrs {
		text += fmt.Sprintf("[[inventory.static]]\nid = \"c%d\"\naddress = %q\npod = \"p%d\"\n", i, a, i)
	}
	writeFile(t, edge, text)
	p := startNode(t, setup{discovery: freeAddress(t), settings: withReports(), env: []string{"TACKHUB_EDGE=" + edge}})
	return p
}

// An HTTP client's request reaches a CoAP server as its message, and each outcome becomes the answer that HTTP's would.
func TestCoapServerOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		act    func(int, *message.Message) []message.Message
		status int
		ids    int // different message ids that reach the server; 0: not looked at
	}{
		"served": {"bill", func(_ int, m *message.Message) []message.Message { return piggyback(m, codes.Changed, "done") }, 200, 1},
		"error":  {"bill", func(_ int, m *message.Message) []message.Message { return piggyback(m, codes.InternalServerError, "") }, 502, 1},
		"turned": {"bill", func(_ int, m *message.Message) []message.Message { return piggyback(m, codes.ServiceUnavailable, "") }, 503, 0},
		"reset": {"bill", func(_ int, m *message.Message) []message.Message {
			return []message.Message{{Type: wire.Rst, MessageID: m.MessageID}}
		}, 503, 0},
		"silence": {"bill", func(int, *message.Message) []message.Message { return nil }, 504, 1},
		"two lost": {"bill", func(n int, m *message.Message) []message.Message {
			if n < 2 {
				return nil
			}
			return piggyback(m, codes.Changed, "done")
		}, 200, 1},
		"separate": {"look", func(_ int, m *message.Message) []message.Message {
			return []message.Message{{Type: wire.Ack, MessageID: m.MessageID}, {Type: wire.Con, Code: codes.Content, MessageID: 777, Token: m.Token, Payload: []byte("done")}}
		}, 200, 1},
		"outrun": {"look", func(_ int, m *message.Message) []message.Message { // the separate answer before the acknowledgement
			return []message.Message{{Type: wire.Con, Code: codes.Content, MessageID: 778, Token: m.Token, Payload: []byte("done")}, {Type: wire.Ack, MessageID: m.MessageID}}
		}, 200, 1},
		"another's token": {"bill", func(_ int, m *message.Message) []message.Message {
			out := piggyback(m, codes.Changed, "not yours")
			out[0].Token = []byte("other")
			return out
		}, 504, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startCoapServer(t, nil, c.act)
			p := withCoapServers(t, back.Scheme+s.addr)
			a := p.mustAsk(request(c.class, 900))
			if a.status != c.status || a.status == 200 && a.body != "done" {
				t.Errorf("status %d %q, want %d", a.status, a.body, c.status)
			}
			all, ids := s.messages()
			if c.ids > 0 && ids != c.ids {
				t.Errorf("%d messages with %d ids: sent again it must be the same message", all, ids)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			m := s.seen[0]
			if path := wire.Strings(&m, message.URIPath); len(path) != 1 || path[0] != c.class {
				t.Errorf("path %v", path)
			}
			if id, ok := wire.Bytes(&m, back.OptRequestID); !ok || len(id) == 0 {
				t.Error("no request id")
			}
			if first, last := s.at[0], s.at[len(s.at)-1]; last.Sub(first) > 750*time.Millisecond {
				t.Errorf("sent again %v after the first sending: later than half of the drain grace", last.Sub(first))
			}
		})
	}
}

// Where nobody listens any more, an unsafe request is not tried at another server: the kernel does not tell whether an
// earlier copy got there. A safe one is.
func TestCoapServerGone(t *testing.T) {
	gone := startCoapServer(t, nil, nil)
	_ = gone.conn.Close()
	good := startCoapServer(t, nil, func(_ int, m *message.Message) []message.Message { return piggyback(m, codes.Content, "done") })
	p := withCoapServers(t, back.Scheme+gone.addr, back.Scheme+good.addr)
	for range 20 {
		if a := p.mustAsk(request("look", 900)); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
}

// Long bodies go in blocks both ways.
func TestCoapServerBlocks(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 300)
	var body []byte
	s := startCoapServer(t, nil, func(_ int, m *message.Message) []message.Message {
		if b, there, _ := wire.Block(m, message.Block1); there {
			body = append(body, m.Payload...)
			if b.More {
				return []message.Message{{Type: wire.Ack, Code: codes.Continue, MessageID: m.MessageID, Token: m.Token, Options: wire.AddUint(nil, message.Block1, b.Value())}}
			}
		}
		b, _, _ := wire.Block(m, message.Block2)
		part, out, _ := blocks.Block{Num: b.Num, SZX: 5}.Slice(long)
		return []message.Message{{Type: wire.Ack, Code: codes.Changed, MessageID: m.MessageID, Token: m.Token, Payload: part, Options: wire.AddUint(nil, message.Block2, out.Value())}}
	})
	p := withCoapServers(t, back.Scheme+s.addr)
	send := bytes.Repeat([]byte("cover"), 1000)
	raw := fmt.Sprintf("POST /bill HTTP/1.1\r\nHost: x\r\nX-Request-Id: abc%d\r\nX-Class: bill\r\nX-Tenant: acme\r\nX-Deadline-Ms: 1200\r\nContent-Length: %d\r\n\r\n%s",
		ids.Add(1), len(send), send)
	if a := p.mustAsk(raw); a.status != 200 || a.body != string(long) {
		t.Errorf("status %d, %d bytes of %d", a.status, len(a.body), len(long))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(body, send) {
		t.Errorf("the server got %d bytes of %d", len(body), len(send))
	}
}
