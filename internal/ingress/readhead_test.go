package ingress

import (
	"strings"
	"testing"
)

// A wrong size of a head would make the node wait for the rest of a request that is complete.
func TestHeadSize(t *testing.T) {
	for input, want := range map[string]int{
		"":                                   0,
		"GET / HTTP/1.1\r\n":                 0,
		"GET / HTTP/1.1\r\n\r\n":             18,
		"GET / HTTP/1.1\n\n":                 16,
		"GET / HTTP/1.1\r\nA: b\r\n\r\nrest": 24,
		"GET / HTTP/1.1\r\nA: b\r\n\r":       0,
	} {
		if got := headSize([]byte(input)); got != want {
			t.Errorf("headSize(%q) = %d, want %d", input, got, want)
		}
	}
}

// The HTTP server may have buffered the beginning of a head only after a request with bytes beyond its body.
func TestFramingIsUnknownAfterBytesBeyondTheBody(t *testing.T) {
	for name, test := range map[string]struct {
		framing  headFraming
		bodySize int
		unknown  bool
	}{
		"no body":          {headFraming{received: 100, headSize: 100}, 0, false},
		"body":             {headFraming{received: 130, headSize: 100}, 30, false},
		"bytes behind":     {headFraming{received: 131, headSize: 100}, 30, true},
		"no size":          {headFraming{received: 130, headSize: 100}, -1, true},
		"head in pieces":   {headFraming{received: 100}, 0, true},
		"unknown before":   {headFraming{received: 100, headSize: 100, unknown: true}, 0, true},
		"body not arrived": {headFraming{received: 110, headSize: 100}, 30, true},
	} {
		test.framing.endRequest(test.bodySize)
		if test.framing.unknown != test.unknown {
			t.Errorf("%s: unknown = %v, want %v", name, test.framing.unknown, test.unknown)
		}
	}
}

// A head in several pieces must reach the HTTP server as a whole, and one with too many fields not at all.
func TestReadHeadWaitsForCompleteHead(t *testing.T) {
	client, c := connPair(t)
	h := httpConn{c}
	buffer := make([]byte, maxHeadBytes)
	const head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	go func() {
		for _, piece := range []string{head[:5], head[5:20], head[20:]} {
			_, _ = client.Write([]byte(piece))
		}
	}()
	if n, err := h.Read(buffer); err != nil || string(buffer[:n]) != head {
		t.Errorf("Read = %q, %v, want the complete head", buffer[:n], err)
	}
	client, c = connPair(t)
	h = httpConn{c}
	go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxHeadFields+1))) }()
	if n, err := h.Read(buffer); n != 1 || err != nil {
		t.Errorf("Read of a head with too many fields = %d, %v, want 1, nil", n, err)
	}
	if _, err := h.Read(buffer); err != errTooManyFields {
		t.Errorf("next Read: error %v, want %v", err, errTooManyFields)
	}
}
