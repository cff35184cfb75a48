package back

import (
	"bufio"
	"bytes"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"
)

// The options that carry the fields of the HTTP protocol. They are elective (even) and of the range for experiments (RFC
// 7252, 12.2): a server that does not know them serves all the same.
const (
	OptRequestID      message.OptionID = 65002 // X-Request-Id
	OptDeadline       message.OptionID = 65004 // X-Deadline-Ms, in milliseconds
	OptIdempotencyKey message.OptionID = 65006 // Idempotency-Key
	OptClass          message.OptionID = 65008 // X-Class
	OptLoad           message.OptionID = 65012 // of a response: the load report, as X-Load has it
)

// maxBody bounds the bodies of requests and of responses, in bytes.
const maxBody = 64 << 10

// headReserve is what the reader's buffer has beyond the request, so that it can look behind its end.
const headReserve = 16

// convertRequest makes a CoAP message, without type, id and token, and a body from the bytes of an HTTP request.
func convertRequest(raw []byte) (message.Message, []byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := request.Read(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+headReserve)); err != nil {
		return message.Message{}, nil, err
	}
	m := message.Message{Code: codes.POST}
	if request.Header.IsGet() {
		m.Code = codes.GET
	}
	add := func(id message.OptionID, value []byte) {
		if len(value) > 0 {
			m.Options = m.Options.Add(message.Option{ID: id, Value: bytes.Clone(value)})
		}
	}
	for _, segment := range bytes.Split(bytes.Trim(request.URI().Path(), "/"), []byte("/")) {
		add(message.URIPath, segment)
	}
	for name, value := range request.URI().QueryArgs().All() {
		add(message.URIQuery, append(append(bytes.Clone(name), '='), value...))
	}
	add(OptRequestID, request.Header.Peek("X-Request-Id"))
	add(OptDeadline, request.Header.Peek("X-Deadline-Ms"))
	add(OptIdempotencyKey, request.Header.Peek("Idempotency-Key"))
	add(OptClass, request.Header.Peek("X-Class"))
	return m, bytes.Clone(request.Body()), nil
}
