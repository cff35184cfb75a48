package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// Framing that two readers could take in two ways is refused before anything goes on: a second request hidden in
// the first one's body must not reach a server (RFC 9112, sections 5 and 6). fasthttp refuses signed and repeated
// lengths and bad names; measured with 1.79, it lets a length beside an encoding, the encoding "identity", folded
// lines, names with spaces and single fields that come twice pass.

// single are the fields that have one meaning only where they come once.
var single = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key"}

// badFraming names what is wrong with a request's head, or "".
func badFraming(h *fasthttp.RequestHeader) string {
	raw := h.RawHeaders()
	length, encoding := false, false
	for line := range bytes.Lines(raw) {
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
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return "bad_encoding"
			}
			encoding = true
		}
	}
	if length && encoding {
		return "length_and_encoding"
	}
	for _, name := range single {
		if len(h.PeekAll(name)) > 1 {
			return "repeated_field"
		}
	}
	return ""
}
