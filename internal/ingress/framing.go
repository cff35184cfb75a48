package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/proxy"
)

// Framing that two parsers could read in two ways is rejected before anything is forwarded: a second request hidden in the
// first one's body must not reach a server (RFC 9112, sections 5 and 6). fasthttp rejects signed and repeated lengths and bad
// names; version 1.79 accepts a length beside an encoding, the encoding "identity", folded lines, names with spaces, and
// single fields that come twice.

// singleFields are the fields that may come only once.
var singleFields = []string{
	proxy.HeaderID,
	proxy.HeaderClass,
	proxy.HeaderTenant,
	proxy.HeaderDeadline,
	proxy.HeaderIdempotencyKey,
}

// badFraming returns the code of what is wrong with a request's head; "": nothing is.
func badFraming(h *fasthttp.RequestHeader) string {
	hasLength := false
	hasEncoding := false
	for line := range bytes.Lines(h.RawHeaders()) {
		if line[0] == ' ' || line[0] == '\t' {
			return "folded_field"
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
			continue // the line that ends the head
		case bytes.ContainsAny(name, " \t"):
			return "bad_field_name"
		case bytes.EqualFold(name, []byte("Content-Length")):
			hasLength = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return "bad_encoding"
			}
			hasEncoding = true
		}
	}
	if hasLength && hasEncoding {
		return "length_and_encoding"
	}
	for _, name := range singleFields {
		if len(h.PeekAll(name)) > 1 {
			return "repeated_field"
		}
	}
	return ""
}
