package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// respondInLumps sends a head and then the body in equal lumps with a pause before each but the first. If the encoding is chunked, each lump
// is a chunk. Otherwise the end of the connection ends the body.
func respondInLumps(encoding string, body []byte, lumps int, pause time.Duration) behavior {
	return func(c net.Conn, _ receivedRequest) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+encoding+"\r\n\r\n")
		isChunked := strings.Contains(encoding, "chunked")
		size := (len(body) + lumps - 1) / lumps
		for begin := 0; begin < len(body) && err == nil; begin += size {
			if begin > 0 {
				time.Sleep(pause)
			}
			lump := body[begin:min(begin+size, len(body))]
			if isChunked {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(lump), lump)
			} else {
				_, err = c.Write(lump)
			}
		}
		if isChunked && err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return isChunked && err == nil
	}
}

// A server writes a large response of unknown size in lumps, with pauses that reach beyond the request's deadline. The node once allowed such
// a response a pause of 0.4 s only, however much of it had come, and cut the response off.
func TestResponseInLumpsIsForwardedComplete(t *testing.T) {
	for name, test := range map[string]struct {
		encoding string
		size     int
		lumps    int
		pause    time.Duration
	}{
		"chunked":                       {"Transfer-Encoding: chunked", 196_608, 4, 900 * time.Millisecond},
		"until close":                   {"Connection: close", 196_608, 4, 900 * time.Millisecond},
		"first lump of 47 kB":           {"Transfer-Encoding: chunked", 134_976, 3, 1600 * time.Millisecond},
		"first lump of 47 kB and close": {"Connection: close", 134_976, 3, 1600 * time.Millisecond},
		"many lumps of 20 kB":           {"Transfer-Encoding: chunked", 160_000, 8, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := largeBody(test.size)
			s := startBackend(t, "s1", respondInLumps(test.encoding, body, test.lumps, test.pause))
			p, _ := startWithBackends(t, "", s)
			c := p.connect()
			c.write(request("bill", 390))
			resp, err := c.read()
			if err != nil || resp.status != 200 || !bytes.Equal([]byte(resp.body), body) {
				t.Errorf("received %d of %d bytes after %v, status %d, %v, want the complete body", len(resp.body), len(body), resp.took, resp.status, err)
			}
		})
	}
}

// A server writes the first 2 kB of a response of unknown size and pauses. Such a response may be small, and a small one is lost if it comes
// half a second late, so it is cut off; but earlier responses of its class were large, and a large one is lost if it is cut off.
func TestResponseOfClassWithLargeResponsesIsForwardedComplete(t *testing.T) {
	const pause = 900 * time.Millisecond
	large := largeBody(100_000)
	s := startBackend(t, "s1", respond(200, string(large)))
	p, _ := startWithBackends(t, "", s)
	if resp := p.mustDo(request("bill", 390)); resp.status != 200 || resp.body != string(large) {
		t.Fatalf("status %d with %d bytes, want 200 with %d bytes", resp.status, len(resp.body), len(large))
	}
	s.setBehavior(respondInLumps("Transfer-Encoding: chunked", large[:4000], 2, pause))
	if resp, err := p.do(request("bill", 390)); err != nil || len(resp.body) != 4000 {
		t.Errorf("received %d bytes, %v, want the complete body of 4,000 bytes", len(resp.body), err)
	}
	if resp, err := p.do(request("look", 390)); err == nil {
		t.Errorf("received %d bytes %v after the request, want an error 0.4 s after its deadline at the latest", len(resp.body), resp.took)
	}
}
