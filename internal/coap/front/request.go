package front

import (
	"hash/fnv"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/echo"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/inflight"
)

// acknowledgeAfter is the delay after which a confirmable request is acknowledged with an empty message and its
// response follows separately. It is half of the time after which the device would retransmit the request.
const acknowledgeAfter = ackTimeout / 2

// request is a request in progress.
type request struct {
	server       *Server
	message      *message.Message
	key          dedup.Key
	from         net.Addr
	datagramSize int // bytes
	confirmable  bool
	acknowledged bool // by an empty message or by the response; guarded by Server.mu
	validated    bool // the message has a valid Echo value, so its address need not be validated again for the response
	mapped       mappedRequest
	receivedAt   time.Time
}

// accept validates a new request and starts it, unless the server is closing. A request for a later block of a stored
// response is not a new request of the device, so it is answered at any time. The caller holds the lock.
func (r *request) accept() {
	s := r.server
	r.receivedAt = time.Now()
	mapped, rejected := mapRequest(r.message, s.classes)
	if rejected != nil {
		r.refuse(refusalBadRequest, textResponse(rejected.code, rejected.text))
		return
	}
	r.mapped = mapped
	echoVerdict := r.checkEcho()
	switch {
	case r.respondFromDownloads():
	case s.stopping:
		r.refuse(refusalEnding, unavailable("ending"))
	case r.admit(echoVerdict):
		r.start()
	}
}

// start passes a request to the handler once its body is complete. The caller holds the lock.
func (r *request) start() {
	s := r.server
	body, answered := r.collectBody()
	if answered {
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		r.refuse(refusalInFlight, unavailable(""))
		return
	}
	s.options.Count.Taken.Inc()
	s.handlers.Go(func() {
		defer func() { <-s.slots }()
		r.serve(body)
	})
}

// checkEcho checks the Echo option. A fresh value marks the endpoint as validated.
func (r *request) checkEcho() echo.Verdict {
	s := r.server
	value, present := wire.Bytes(r.message, message.Echo)
	verdict := s.authenticator.Check(s.now(), r.key.Endpoint, value, present)
	if verdict == echo.Valid {
		s.validated.add(s.now(), r.key.Endpoint)
		r.validated = true
	}
	return verdict
}

// transferKey identifies the block-wise transfers of the requested resource by its method, path and queries. The block
// options are excluded because they differ between the messages of a transfer.
func (r *request) transferKey() blocks.Key {
	h := fnv.New64a()
	for _, text := range []string{r.mapped.method, r.mapped.uri, r.mapped.idempotencyKey, r.mapped.tenant} {
		_, _ = h.Write([]byte(text)) // a hash returns no error
		_, _ = h.Write([]byte{0})
	}
	return blocks.Key{Endpoint: r.key.Endpoint, Resource: h.Sum64()}
}

// collectBody returns the body of the request once it is complete. answered is true if this message has already been
// answered.
func (r *request) collectBody() (body []byte, answered bool) {
	block, present, err := wire.Block(r.message, message.Block1)
	payload := r.message.Payload
	switch {
	case err != nil:
		r.respond(textResponse(codes.BadOption, err.Error()))
		return nil, true
	case r.mapped.method == fasthttp.MethodGet && len(payload) > 0:
		r.respond(textResponse(codes.BadRequest, "a body with GET"))
		return nil, true
	case !present && len(payload) > maxBody:
		r.respond(textResponse(codes.RequestEntityTooLarge, ""))
		return nil, true
	case !present:
		return payload, false
	}
	verdict, body := r.server.uploads.Add(r.server.now(), r.transferKey(), block, payload)
	if verdict == blocks.Complete {
		return body, false
	}
	r.respondToBlock(verdict, block)
	return nil, true
}

// respondToBlock answers a block of an upload that is not complete or was refused.
func (r *request) respondToBlock(verdict blocks.Verdict, block blocks.Block) {
	if verdict != blocks.Continue {
		r.refuseBlock(verdict, block)
		return
	}
	r.respond(response{code: codes.Continue, block1: &block, retention: dedup.KeepRefusal})
}

// respondFromDownloads answers a request for a later block of a stored response. It returns false if the request has
// to be served.
func (r *request) respondFromDownloads() bool {
	block, present, err := wire.Block(r.message, message.Block2)
	if err != nil {
		r.respond(textResponse(codes.BadOption, err.Error()))
		return true
	}
	if !present || block.Num == 0 {
		return false
	}
	body, ok := r.server.downloads.Get(r.server.now(), r.transferKey())
	if !ok {
		if r.mapped.class.Idempotency == balancer.Idempotent {
			return false // the request runs again and the block is cut from the new response
		}
		r.respond(response{code: codes.RequestEntityIncomplete, retention: dedup.Evictable})
		return true
	}
	r.respond(response{code: responseCode(fasthttp.StatusOK, r.mapped.method), body: body})
	return true
}

// serve passes the request to the handler and sends the response.
func (r *request) serve(body []byte) {
	acknowledge := time.AfterFunc(acknowledgeAfter, r.acknowledge)
	defer acknowledge.Stop()
	tracked := r.server.options.InFlight.Begin(r.key.Endpoint, r.mapped.class.Name)
	outcome := inflight.Unanswered // replaced when the response has been sent
	defer func() { tracked.End(outcome) }()
	status, responseBody, retryAfterSeconds := r.callHandler(body)
	rejected := status == fasthttp.StatusServiceUnavailable
	answer := response{code: responseCode(status, r.mapped.method)}
	switch {
	case status == fasthttp.StatusOK:
		answer.body = responseBody
	case rejected:
		answer.retention = dedup.KeepRefusal
		answer.maxAge = uint32(math.Ceil(max(1, retryAfterSeconds)))
	}
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.respond(answer)
	r.server.lastAnswered = r.server.now()
	outcome = inflight.Answered
	if rejected {
		outcome = inflight.Rejected
	}
}

// callHandler passes the request to the handler as an HTTP request, with the headers that an HTTP client would send.
// retryAfter is in seconds, 0 if the response has no Retry-After header.
func (r *request) callHandler(body []byte) (status int, responseBody []byte, retryAfter float64) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(r.httpRequest(body), r.from, nil)
	r.server.options.Handler.Serve(ctx, device{receivedAt: r.receivedAt})
	retryAfter, _ = strconv.ParseFloat(string(ctx.Response.Header.Peek("Retry-After")), 64) // 0 if the header is absent
	return ctx.Response.StatusCode(), append([]byte(nil), ctx.Response.Body()...), retryAfter
}

// httpRequest converts the request to an HTTP request.
func (r *request) httpRequest(body []byte) *fasthttp.Request {
	m := r.mapped
	var http fasthttp.Request
	http.Header.SetMethod(m.method)
	http.SetRequestURI(m.uri)
	http.Header.SetHost("coap")
	http.Header.Set("X-Request-Id", r.server.newRequestID())
	http.Header.Set("X-Class", m.class.Name)
	http.Header.Set("X-Tenant", m.tenant)
	http.Header.Set("X-Deadline-Ms", m.deadline)
	if m.idempotencyKey != "" {
		http.Header.Set("Idempotency-Key", m.idempotencyKey)
	}
	if m.retry {
		http.Header.Set("X-Retry", "1")
	}
	if m.costHint != "" {
		http.Header.Set("X-Cost-Hint", m.costHint)
	}
	if m.method != fasthttp.MethodGet {
		http.SetBody(body)
	}
	return &http
}

// acknowledge sends an empty acknowledgement for a confirmable request that has not been acknowledged; its response
// follows separately.
func (r *request) acknowledge() {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if !r.confirmable || r.acknowledged {
		return
	}
	r.acknowledged = true
	r.server.exchanges.MarkAcknowledged(r.key)
	r.server.send(wire.Empty(wire.Ack, r.key.ID), r.from)
}

// device is the proxy.Client of a CoAP request. There is no connection, so a disconnect cannot be detected.
type device struct{ receivedAt time.Time }

// LastRead returns when the request was received.
func (d device) LastRead() time.Time { return d.receivedAt }

// WatchDisconnect returns a nil channel, which never delivers a value.
func (d device) WatchDisconnect() (<-chan struct{}, func()) { return nil, func() {} }

// Disconnected returns false, since a disconnect cannot be detected.
func (d device) Disconnected() bool { return false }

// MayHaveDisconnected returns false, as Disconnected does.
func (d device) MayHaveDisconnected() bool { return false }

// SetCloseReason does nothing, since there is no connection to close.
func (d device) SetCloseReason(string) {}
