package proxy

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// Header fields that decide how a request is handled. Each may occur only once.
const (
	HeaderID             = "X-Request-Id"
	HeaderClass          = "X-Class"
	HeaderTenant         = "X-Tenant"
	HeaderDeadline       = "X-Deadline-Ms" // how long the client waits, in milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Header fields that are optional hints for the balancer.
const (
	headerRetry    = "X-Retry"     // 1: the client marks the request as a retry
	headerCostHint = "X-Cost-Hint" // expected work in microseconds
)

// received is a request as it was read. The values of its header fields are not validated yet.
type received struct {
	receivedAt     balancer.Millis // when the last byte was received, the earliest time that the node can measure
	method         string
	uri            []byte // valid until Serve returns
	id             string
	class          string
	tenant         string
	timeout        string
	idempotencyKey string
	isRetry        bool
	costHint       string
	header         *fasthttp.RequestHeader
	body           []byte
	largeBody      engine.RequestBody // replaces body if the body is stored in a file
	uploading      bool               // largeBody is not complete yet
}

// receive extracts a request's header fields, body and time of arrival.
func receive(ctx *fasthttp.RequestCtx, client Client, c clock.Clock) received {
	header := &ctx.Request.Header
	in := received{
		receivedAt:     c.At(client.LastRead()),
		method:         string(header.Method()),
		uri:            originForm(header.RequestURI()),
		id:             string(header.Peek(HeaderID)),
		class:          string(header.Peek(HeaderClass)),
		tenant:         string(header.Peek(HeaderTenant)),
		timeout:        string(header.Peek(HeaderDeadline)),
		idempotencyKey: string(header.Peek(HeaderIdempotencyKey)),
		isRetry:        string(header.Peek(headerRetry)) == "1",
		costHint:       string(header.Peek(headerCostHint)),
		header:         header,
		body:           ctx.Request.Body(),
	}
	if file := largeBodyOf(client); file != nil {
		in.largeBody = file
		in.uploading = !file.Complete()
	}
	return in
}

// hasBody reports whether the request has a body.
func (in *received) hasBody() bool { return len(in.body) > 0 || in.largeBody != nil }

// bodySize returns the size of the body in bytes.
func (in *received) bodySize() int64 {
	if in.largeBody != nil {
		return in.largeBody.Size()
	}
	return int64(len(in.body))
}

// originForm converts a request target in absolute form (RFC 9112, section 3.2.2) to the origin form, which servers expect.
func originForm(target []byte) []byte {
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
			continue
		}
		rest := target[len(scheme):]
		if pathStart := bytes.IndexAny(rest, "/?#"); pathStart > 0 && rest[pathStart] == '/' {
			return rest[pathStart:]
		}
	}
	return target
}

// firstSegment returns the first segment of a request target's path, or "" if the target does not begin with a slash.
func firstSegment(uri []byte) string {
	path, ok := bytes.CutPrefix(uri, []byte("/"))
	if !ok {
		return ""
	}
	if end := bytes.IndexAny(path, "/?#"); end >= 0 {
		path = path[:end]
	}
	return string(path)
}

// maxTimeout is the limit for a client's timeout, in milliseconds; longer ones are reduced to it. A request that waited longer
// would only occupy its connection. The protocol's longest timeout is 3 s.
const maxTimeout = 60_000

// parseTimeout parses the deadline field: an integer number of milliseconds, without a sign or an exponent. It reports whether
// the field is valid.
func parseTimeout(s string) (balancer.Millis, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return balancer.Millis(min(n, maxTimeout)), err == nil
}

// ClientTimeout returns how long the client of a request waits for the response. It reports whether the request has a valid deadline field.
func ClientTimeout(header *fasthttp.RequestHeader) (time.Duration, bool) {
	timeout, ok := parseTimeout(string(header.Peek(HeaderDeadline)))
	return clock.Duration(timeout), ok
}

// maxCostHint is the largest cost hint that is accepted, in microseconds.
const maxCostHint = 1e12

// parseCostHint converts the cost hint from microseconds to milliseconds. It returns 0, which means no hint, if the field is
// malformed or out of range.
func parseCostHint(s string) balancer.Millis {
	n, err := strconv.ParseFloat(s, 64)
	inRange := n > 0 && n <= maxCostHint // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return n / 1000
}
