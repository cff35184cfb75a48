package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/back"
	"tackhub.example/tackhub/internal/coap/wire"
)

// maxRefusalTime is how long the refusal of a request may take that no server can get: far less than the 400 ms for which requests are queued.
const maxRefusalTime = 200 * time.Millisecond

// withTarget returns a request of a class for another target.
func withTarget(class, target string) string {
	return strings.Replace(request(class, 900), " /"+class+" ", " "+target+" ", 1)
}

// requestCount returns the number of messages that are requests. Health checks are empty messages.
func (s *coapBackend) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.received {
		if m.Code != codes.Empty {
			n++
		}
	}
	return n
}

// A CoAP server got an encoded slash as a separator and other targets changed as well, so that a request reached another object. It must get
// the path and queries that the client wrote, and nothing of a target that CoAP cannot express: such a request is refused as harmless.
func TestCoapServerGetsTargetOfClientOrNothing(t *testing.T) {
	s := startCoapBackend(t, nil, func(_ int, m *message.Message) []message.Message {
		return piggybackedResponse(m, codes.Content, fmt.Sprintf("%q%q", wire.Strings(m, message.URIPath), wire.Strings(m, message.URIQuery)))
	})
	p := startWithCoapBackends(t, back.Scheme+s.addr)
	long := strings.Repeat("a", 256)
	for text, want := range map[string]string{
		"/look/a%2Fb": `["look" "a/b"][]`, "/look/a//b": `["look" "a" "" "b"][]`, "/look/a/": `["look" "a" ""][]`,
		"/look?x=1+2": `["look"]["x=1+2"]`, "/look?y": `["look"]["y"]`,
		"/look/a/../b": "", "/look/./b": "", "/look/" + long: "", "/look?" + long: "", "/look/%zz": "", "/look/%ff": "",
		// Targets that were right before as well.
		"/look/a..": `["look" "a.."][]`, "/look/a+b": `["look" "a+b"][]`, "/look/%3F%25%2525;,": `["look" "?%%25;,"][]`,
		"/look?y=&x=%26&x=1=2&q=/?": `["look"]["y=" "x=&" "x=1=2" "q=/?"]`,
	} {
		before := s.requestCount()
		got := p.mustDo(withTarget("look", text))
		after := s.requestCount()
		if want == "" && (got.status != http.StatusServiceUnavailable || after != before) {
			t.Errorf("%.30s: status %d, and the server got %d messages; want 503 and none", text, got.status, after-before)
		}
		if want == "" && got.took > maxRefusalTime {
			t.Errorf("%.30s: refused after %v, want it refused at once, within %v", text, got.took, maxRefusalTime)
		}
		if want != "" && (got.status != http.StatusOK || got.body != want) {
			t.Errorf("%.30s: status %d, the server got %s, want %s", text, got.status, got.body, want)
		}
	}
}

// In a fleet of both kinds a request that CoAP cannot express goes to an HTTP server, with its target as it is.
func TestTargetThatCoapCannotExpressGoesToHTTPServer(t *testing.T) {
	coap := startCoapBackend(t, nil, func(_ int, m *message.Message) []message.Message {
		return piggybackedResponse(m, codes.Content, "changed")
	})
	server := startBackend(t, "h0", respond(http.StatusOK, "as it is"))
	edge := filepath.Join(t.TempDir(), "edge.toml")
	writeFile(t, edge, fmt.Sprintf("[inventory]\ndiscovery = false\n[[inventory.static]]\nid = \"c0\"\naddress = %q\npod = \"p\"\n"+
		"[[inventory.static]]\nid = \"h0\"\naddress = %q\npod = \"p\"\n", back.Scheme+coap.addr, server.addr))
	p := startNode(t, nodeOptions{discovery: freeAddress(t), settings: settingsWithLoadReports(), env: []string{"TACKHUB_EDGE=" + edge}})
	const target = "/look/a/../b?x=%zz"
	for range 20 {
		if got := p.mustDo(withTarget("look", target)); got.status != http.StatusOK || got.body != "as it is" {
			t.Errorf("status %d %q, want the HTTP server's 200", got.status, got.body)
		}
	}
	if n := coap.requestCount(); n != 0 {
		t.Errorf("the CoAP server got %d messages, want 0", n)
	}
	lines := make([]string, 0, 20)
	for _, r := range server.requests() {
		lines = append(lines, r.line)
	}
	if want := "GET " + target + " HTTP/1.1"; slices.ContainsFunc(lines, func(line string) bool { return strings.TrimSpace(line) != want }) {
		t.Errorf("the HTTP server got %q, want %q", lines, want)
	}
}
