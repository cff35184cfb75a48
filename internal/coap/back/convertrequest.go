package back

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/coap/target"
)

// The CoAP options that correspond to HTTP header fields. Their numbers are even, which makes the options elective, and
// in the range for experiments (RFC 7252, 12.2), so a server that does not support them can still serve the request.
const (
	OptRequestID      message.OptionID = 65002 // X-Request-Id
	OptDeadline       message.OptionID = 65004 // X-Deadline-Ms, in milliseconds
	OptIdempotencyKey message.OptionID = 65006 // Idempotency-Key
	OptClass          message.OptionID = 65008 // X-Class
	OptLoad           message.OptionID = 65012 // load report of a response, in the format of X-Load
)

// optionFields are the HTTP header fields of a request that go on as options.
var optionFields = []struct {
	name   string
	option message.OptionID
}{
	{"X-Request-Id", OptRequestID},
	{"X-Deadline-Ms", OptDeadline},
	{"Idempotency-Key", OptIdempotencyKey},
	{"X-Class", OptClass},
}

// maxBody is the largest size of a request or response body, in bytes.
const maxBody = 64 << 10

// endOfHead is what separates the head of an encoded request from its body.
var endOfHead = []byte("\r\n\r\n")

// errIncompleteHead is returned for an encoded request whose head does not end.
var errIncompleteHead = errors.New("the head of the request is incomplete")

// convertRequest converts the bytes of an HTTP request to a CoAP message, and returns the body separately. It does not
// set the message's type, id and token. A request that CoAP cannot express is refused: the error is one of package target.
func convertRequest(raw []byte) (message.Message, []byte, error) {
	head, body, found := bytes.Cut(raw, endOfHead)
	if !found {
		return message.Message{}, nil, errIncompleteHead
	}
	var header fasthttp.RequestHeader
	if err := header.Read(bufio.NewReaderSize(bytes.NewReader(raw), len(head)+len(endOfHead))); err != nil {
		return message.Message{}, nil, err
	}
	options, err := target.Parse(header.RequestURI())
	if err != nil {
		return message.Message{}, nil, err
	}
	m := message.Message{Code: codes.POST}
	if header.IsGet() {
		m.Code = codes.GET
	}
	for _, segment := range options.Path {
		m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(segment)})
	}
	for _, query := range options.Queries {
		m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(query)})
	}
	for _, field := range optionFields {
		if value := header.Peek(field.name); len(value) > 0 {
			m.Options = m.Options.Add(message.Option{ID: field.option, Value: bytes.Clone(value)})
		}
	}
	return m, bytes.Clone(body), nil
}
