package proxy

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// Header fields of a request that a decision needs. They may come only once.
const (
	HeaderID             = "X-Request-Id"
	HeaderClass          = "X-Class"
	HeaderTenant         = "X-Tenant"
	HeaderDeadline       = "X-Deadline-Ms" // milliseconds that the client waits
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Header fields that only inform a decision.
const (
	headerRetry    = "X-Retry"     // 1: the request is the client's retry
	headerCostHint = "X-Cost-Hint" // expected work in microseconds
)

// received is a request as it came, with the header fields that a decision needs as text. Nothing in it is validated.
type received struct {
	at             balancer.Millis // when its last byte came, as early as the node can know
	method         string
	uri            []byte // valid while the request is served
	id             string
	class          string
	tenant         string
	timeout        string
	idempotencyKey string
	isRetry        bool
	costHint       string
	header         *fasthttp.RequestHeader
	body           []byte
	largeBody      engine.RequestBody // in place of body where that is stored in a file
	uploading      bool               // largeBody is not complete yet
}

// receive reads a request's fields and the time of its arrival.
func receive(ctx *fasthttp.RequestCtx, client Client, c clock.Clock) received {
	header := &ctx.Request.Header
	in := received{
		at:             c.At(client.LastRead()),
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

// bodySize is the size of the body in bytes.
func (in *received) bodySize() int64 {
	if in.largeBody != nil {
		return in.largeBody.Size()
	}
	return int64(len(in.body))
}

// originForm reduces a request target in absolute form (RFC 9112, section 3.2.2) to the origin form that servers get.
func originForm(target []byte) []byte {
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
			continue
		}
		rest := target[len(scheme):]
		if at := bytes.IndexAny(rest, "/?#"); at > 0 && rest[at] == '/' {
			return rest[at:]
		}
	}
	return target
}

// firstSegment is the first segment of a request target's path; "" where the target does not begin with a slash.
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

// maxTimeout is the longest deadline that is believed, in milliseconds: a request that waits longer occupies a connection
// in vain. The protocol's longest deadline is 3 s.
const maxTimeout = 60_000

// parseTimeout parses the deadline field: whole milliseconds in digits alone, so neither a sign nor an exponent.
func parseTimeout(s string) (balancer.Millis, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return balancer.Millis(min(n, maxTimeout)), err == nil
}

// maxCostHint is the largest cost hint that is believed, in microseconds.
const maxCostHint = 1e12

// parseCostHint converts the cost hint from microseconds to milliseconds. A hint that is malformed or out of range counts
// as none, which is 0.
func parseCostHint(s string) balancer.Millis {
	n, err := strconv.ParseFloat(s, 64)
	inRange := n > 0 && n <= maxCostHint // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return n / 1000
}
