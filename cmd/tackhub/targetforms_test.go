package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/coap/target"
	"tackhub.example/tackhub/internal/coap/wire"
)

// objectStore is a CoAP server that keeps each put under the exact options of its path and queries.
type objectStore struct {
	mu      sync.Mutex
	objects map[string]string
}

// handle stores the body of a request, and answers with the name of its object.
func (s *objectStore) handle(_ int, m *message.Message) []message.Message {
	if m.Code == codes.Empty {
		return nil
	}
	name := objectName(wire.Strings(m, message.URIPath), wire.Strings(m, message.URIQuery))
	s.mu.Lock()
	s.objects[name] = string(m.Payload)
	s.mu.Unlock()
	return piggybackedResponse(m, codes.Changed, name)
}

// objectName names an object by the options of a request.
func objectName(path, queries []string) string { return fmt.Sprintf("%q?%q", path, queries) }

// parts are what drawn targets consist of: separators, encoded and not, dots, signs, percent signs, other alphabets, empty values.
var parts = []string{"a", "nile", "0", "/", "//", "%2F", "%2f", ".", "..", "%2e", "...", "+", "%20", "%2B", "%25", "%252F", ";", ",", ":", "@", "=", "&", "%26",
	"?", "%3F", "%23", "%C3%A9", "\u00e9", "%E6%97%A5", "%ff", "%", "%z", "~", "!", "'", "(", "*", "", strings.Repeat("x", 250)}

// drawTarget draws a target of a class.
func drawTarget(rng *rand.Rand, class string) string {
	text := "/" + class + []string{"/", "/", "/", "?"}[rng.IntN(4)]
	for range rng.IntN(8) {
		text += parts[rng.IntN(len(parts))]
	}
	return text
}

// Targets of every form are put to CoAP servers. A path that was decoded before it was cut overwrote another object. Each object that the server
// holds must be one that a client named, with the body of the last client that named it, and what CoAP cannot express must be refused.
func TestTargetsOfEveryFormNameTheirOwnObject(t *testing.T) {
	const seed, targets = 20261206, 400
	store := &objectStore{objects: map[string]string{}}
	p := startWithCoapBackends(t, back.Scheme+startCoapBackend(t, nil, store.handle).addr)
	rng := rand.New(rand.NewPCG(seed, 0))
	named := map[string]string{}
	refused := 0
	for i := range targets {
		text := drawTarget(rng, "bill")
		body := fmt.Sprintf("cover-%03d", i)
		raw := strings.Replace(strings.Replace(request("bill", 1200), " /bill ", " "+text+" ", 1), "amount=12", body, 1)
		raw = strings.Replace(raw, "Content-Length: 9", fmt.Sprintf("Content-Length: %d", len(body)), 1)
		resp := p.mustDo(raw)
		options, err := target.Parse([]byte(text))
		name := objectName(options.Path, options.Queries)
		switch {
		case resp.status == http.StatusOK && err == nil && resp.body == name:
			named[name] = body
		case resp.status != http.StatusOK && err != nil:
			refused++
		case resp.status == http.StatusBadRequest && strings.Contains(text, ".."): // it may leave its class where escapes are decoded first
			refused++
		default:
			t.Errorf("seed %d, target %q: status %d, object %s, want %s, error %v", seed, text, resp.status, resp.body, name, err)
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for name, body := range store.objects {
		if named[name] != body {
			t.Errorf("the server holds %q at %s, want %q", body, name, named[name])
		}
	}
	if len(named) < targets/4 || refused < targets/20 {
		t.Errorf("%d objects were named and %d targets refused, too few of %d", len(named), refused, targets)
	}
}

// Devices send paths and queries of every form over CoAP. An HTTP server must get the target of exactly these options, and a CoAP server the
// options themselves; what the standard does not permit must be rejected.
func TestOptionsOfEveryFormReachServersOfBothProtocols(t *testing.T) {
	const seed, messages = 20261207, 150
	store := &objectStore{objects: map[string]string{}}
	coapServer := startCoapBackend(t, nil, store.handle)
	for kind, address := range map[string]string{"coap": back.Scheme + coapServer.addr, "http": startBackend(t, "h", func(c net.Conn, req receivedRequest) bool {
		_, uri, _ := strings.Cut(req.line, " ")
		uri = strings.TrimSuffix(uri, " HTTP/1.1")
		options, err := target.Parse([]byte(uri))
		if err != nil {
			return respond(200, err.Error())(c, req)
		}
		return respond(200, objectName(options.Path, options.Queries))(c, req)
	}).addr} {
		t.Run(kind, func(t *testing.T) {
			_, coapAddress := startWithCoap(t, fmt.Sprintf("[inventory]\ndiscovery = false\n[[inventory.static]]\nid = \"s\"\naddress = %q\n", address))
			d := newRepeatingDevice(t, coapAddress)
			rng := rand.New(rand.NewPCG(seed, 0))
			for i := range messages {
				path, queries := []string{"look"}, []string{"tenant=acme"}
				for range rng.IntN(4) {
					path = append(path, drawValue(rng))
				}
				for range rng.IntN(3) {
					queries = append(queries, "q"+drawValue(rng))
				}
				m := message.Message{Type: wire.Con, Code: codes.GET, MessageID: int32(1000 + i), Token: []byte{byte(i), byte(i >> 8)}}
				for _, segment := range path {
					m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(segment)})
				}
				for _, query := range queries {
					m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(query)})
				}
				allowed := target.Options{Path: path, Queries: queries}.Check() == nil
				m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: d.echo})
				got := roundTrip(t, d.conn, d.node, encode(t, m))
				if got == nil {
					t.Fatalf("seed %d, message %d: no answer", seed, i)
				}
				want := objectName(path, queries[1:])
				switch {
				case allowed && (got.Code != codes.Content || string(got.Payload) != want):
					t.Errorf("seed %d, message %d: %v %q, want the server to get %s", seed, i, got.Code, got.Payload, want)
				case !allowed && got.Code != codes.BadRequest && got.Code != codes.BadOption:
					t.Errorf("seed %d, message %d, %q %q: %v, want it rejected", seed, i, path, queries, got.Code)
				}
			}
		})
	}
}

// drawValue draws the value of an option.
func drawValue(rng *rand.Rand) string {
	values := []string{"a", "a/b", "", ".", "..", "a b", "+", "%2F", "%", "é", "日", "\xff", "&", "=", "?", "#", "a&b=c", strings.Repeat("y", 255), "~;,:@!"}
	return values[rng.IntN(len(values))]
}
