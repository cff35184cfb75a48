package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/proxy"
)

// A request whose framing is ambiguous is rejected before any part of it is forwarded. Otherwise another parser could find a
// second request in the body of the first one (request smuggling; RFC 9112, sections 5 and 6). fasthttp itself rejects signed
// and repeated values of Content-Length and invalid field names. Version 1.79 accepts Content-Length together with
// Transfer-Encoding, the encoding "identity", folded lines, names with spaces, and repeated singleton fields, so these are
// checked here.

// singletonFields are the header fields that a request may contain only once.
var singletonFields = []string{
	proxy.HeaderID,
	proxy.HeaderClass,
	proxy.HeaderTenant,
	proxy.HeaderDeadline,
	proxy.HeaderIdempotencyKey,
}

// framingErrorCode returns the code of the first framing error in a request's head, or "" if there is none.
func framingErrorCode(header *fasthttp.RequestHeader) string {
	hasLength := false
	hasEncoding := false
	for line := range bytes.Lines(header.RawHeaders()) {
		if line[0] == ' ' || line[0] == '\t' {
			return "folded_field"
		}
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case !hasColon:
			continue // the empty line that ends the head
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
	for _, name := range singletonFields {
		if len(header.PeekAll(name)) > 1 {
			return "repeated_field"
		}
	}
	return ""
}
