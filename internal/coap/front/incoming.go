package front

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
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

// incoming is one request on its way.
type incoming struct {
	f           *Server
	m           *message.Message
	key         dedup.Key
	from        net.Addr
	size        int // of its datagram
	confirmable bool
	acked       bool // by an empty message; guarded by the front's lock
	call        call
	at          time.Time
}

// reply is an answer before it is put into a message.
type reply struct {
	code    codes.Code
	body    []byte
	maxAge  uint32
	block1  *blocks.Block
	options message.Options
	// harmless answers may be forgotten: running the request again would do no harm.
	harmless bool
}

func text(code codes.Code, body string) reply {
	return reply{code: code, body: []byte(body), harmless: true}
}

// fresh takes a new request through what the front itself must know, and starts it. The caller holds the lock.
func (f *Server) fresh(r *incoming) {
	r.at = time.Now()
	c, bad := mapCall(r.m, f.classes)
	if bad != nil {
		f.o.Count.Refused.Inc("bad_request")
		r.answer(text(bad.code, bad.text))
		return
	}
	r.call = c
	if !f.proves(r) {
		return
	}
	body, done := f.upload(r)
	if done {
		return
	}
	if r.fetches() {
		return
	}
	select {
	case f.open <- struct{}{}:
	default:
		f.o.Count.Refused.Inc("too_many_open")
		r.answer(reply{code: codes.ServiceUnavailable, maxAge: retryLater, harmless: true})
		return
	}
	f.o.Count.Taken.Inc()
	f.working.Go(func() {
		defer func() { <-f.open }()
		r.serve(body)
	})
}

// proves asks for the Echo option where it is needed; false where the request does not go on.
func (f *Server) proves(r *incoming) bool {
	value, there := wire.Bytes(r.m, message.Echo)
	verdict := f.echo.Check(f.now(), r.key.Endpoint, value, there)
	if verdict == echo.Valid {
		f.prove(r.key.Endpoint)
	}
	if r.call.class.Idempotency == balancer.Idempotent || verdict == echo.Valid {
		return true
	}
	if verdict == echo.Unknown {
		// It may be the repeat of one that ran at another node, or here before a restart. Nothing is known of that, so
		// nothing is promised; the device's next request, with what this answer brings, is its own decision.
		f.o.Count.Refused.Inc("foreign_echo")
		r.answer(reply{code: codes.BadGateway, body: []byte("may have run elsewhere"), options: f.challenge(r)})
		return false
	}
	f.o.Count.Refused.Inc("echo")
	r.answer(reply{code: codes.Unauthorized, options: f.challenge(r), harmless: true})
	return false
}

func (f *Server) challenge(r *incoming) message.Options {
	return message.Options{}.Add(message.Option{ID: message.Echo, Value: f.echo.Issue(f.now(), r.key.Endpoint)})
}

// what names the resource of a transfer: method, path and query, without the option that goes from block to block.
func (r *incoming) what() uint64 {
	h := fnv.New64a()
	for _, s := range []string{r.call.method, r.call.uri, r.call.key, r.call.tenant} {
		_, _ = h.Write([]byte(s)) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// upload puts a body together from its blocks; done where this message has its answer.
func (f *Server) upload(r *incoming) (body []byte, done bool) {
	b, there, err := wire.Block(r.m, message.Block1)
	switch {
	case err != nil:
		r.answer(text(codes.BadOption, err.Error()))
		return nil, true
	case r.call.method == "GET" && len(r.m.Payload) > 0:
		r.answer(text(codes.BadRequest, "a body with GET"))
		return nil, true
	case !there && len(r.m.Payload) > maxBody:
		r.answer(text(codes.RequestEntityTooLarge, ""))
		return nil, true
	case !there:
		return r.m.Payload, false
	}
	verdict, body := f.uploads.Add(f.now(), blocks.Key{Endpoint: r.key.Endpoint, Resource: r.what()}, b, r.m.Payload)
	switch verdict {
	case blocks.Complete:
		return body, false
	case blocks.Continue:
		r.answer(reply{code: codes.Continue, block1: &b, harmless: true})
	case blocks.Incomplete:
		f.o.Count.Refused.Inc("block_missing")
		r.answer(reply{code: codes.RequestEntityIncomplete, block1: &b, harmless: true})
	case blocks.TooLarge:
		f.o.Count.Refused.Inc("body_too_large")
		r.answer(reply{code: codes.RequestEntityTooLarge, block1: &b, options: wire.AddUint(nil, message.Size1, maxBody), harmless: true})
	default:
		f.o.Count.Refused.Inc("too_many_uploads")
		r.answer(reply{code: codes.ServiceUnavailable, block1: &b, maxAge: retryLater, harmless: true})
	}
	return nil, true
}

// fetches answers a later block of an answer that is kept; true where this message has its answer.
func (r *incoming) fetches() bool {
	b, there, err := wire.Block(r.m, message.Block2)
	if err != nil {
		r.answer(text(codes.BadOption, err.Error()))
		return true
	}
	if !there || b.Num == 0 {
		return false
	}
	body, ok := r.f.kept.Get(r.f.now(), blocks.Key{Endpoint: r.key.Endpoint, Resource: r.what()})
	if !ok {
		if r.call.class.Idempotency == balancer.Idempotent {
			return false // asked anew: the block is cut from a fresh answer
		}
		r.answer(reply{code: codes.RequestEntityIncomplete, harmless: true})
		return true
	}
	r.answer(reply{code: answerCode(fasthttp.StatusOK, r.call.method), body: body})
	return true
}

// serve takes a request through the exchange's stages and answers it.
func (r *incoming) serve(body []byte) {
	ack := time.AfterFunc(ackAfter, r.acknowledge)
	defer ack.Stop()
	taken := r.f.o.InFlight.Begin(r.key.Endpoint, r.call.class.Name)
	outcome := inflight.Unanswered // unless it is answered below
	defer func() { taken.End(outcome) }()
	status, answer, retryAfter := r.exchange(body)
	out := reply{code: answerCode(status, r.call.method), harmless: status == fasthttp.StatusServiceUnavailable}
	switch status {
	case fasthttp.StatusOK:
		out.body = answer
	case fasthttp.StatusServiceUnavailable:
		out.maxAge = uint32(math.Ceil(max(1, retryAfter)))
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.answer(out)
	outcome = inflight.Answered
	if status == fasthttp.StatusServiceUnavailable {
		outcome = inflight.Rejected
	}
}

// exchange is the request as the stages take it: the same fields as HTTP's.
func (r *incoming) exchange(body []byte) (status int, answer []byte, retryAfter float64) {
	var req fasthttp.Request
	req.Header.SetMethod(r.call.method)
	req.SetRequestURI(r.call.uri)
	req.Header.SetHost("coap")
	req.Header.Set("X-Request-Id", r.f.requestID())
	req.Header.Set("X-Class", r.call.class.Name)
	req.Header.Set("X-Tenant", r.call.tenant)
	req.Header.Set("X-Deadline-Ms", r.call.wait)
	if r.call.key != "" {
		req.Header.Set("Idempotency-Key", r.call.key)
	}
	if r.call.retry {
		req.Header.Set("X-Retry", "1")
	}
	if r.call.hint != "" {
		req.Header.Set("X-Cost-Hint", r.call.hint)
	}
	if r.call.method != "GET" {
		req.SetBody(body)
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&req, r.from, nil)
	r.f.o.Handler.Serve(ctx, device{r.at})
	retryAfter, _ = strconv.ParseFloat(string(ctx.Response.Header.Peek("Retry-After")), 64)
	return ctx.Response.StatusCode(), append([]byte(nil), ctx.Response.Body()...), retryAfter
}

// device is a client without a connection: it cannot be seen to leave.
type device struct{ at time.Time }

// LastRead is when its request came.
func (d device) LastRead() time.Time { return d.at }

// Watch never tells that it left.
func (d device) WatchDisconnect() (<-chan struct{}, func()) { return nil, func() {} }

// Left is not known of a device: a datagram's sender has no connection that would end.
func (d device) Disconnected() bool { return false }

// Ends has nothing to end.
func (d device) SetCloseReason(string) {}

// acknowledge tells the device that its request is in hand and the answer will follow.
func (r *incoming) acknowledge() {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if !r.confirmable || r.acked {
		return
	}
	r.acked = true
	r.f.table.MarkAcknowledged(r.key)
	r.f.send(wire.Empty(wire.Ack, r.key.ID), r.from)
}

// answer sends the final answer and stores it for repeats. The caller holds the lock.
func (r *incoming) answer(a reply) {
	a = r.bounded(a)
	m := r.message(a)
	b, err := wire.Encode(m)
	if err != nil { // our own options: it cannot happen, and the device must not be left without an answer
		r.f.o.Log.Error("an answer cannot be written", "code", "coap_encode", "error", err)
		b = wire.Empty(wire.Rst, r.key.ID)
	}
	r.f.o.Count.Answers.Inc(strconv.Itoa(int(a.code>>5)) + "." + strconv.Itoa(100 + int(a.code&31))[1:])
	r.f.table.Complete(r.key, b, a.harmless)
	r.f.send(b, r.from)
	if m.Type == wire.Con {
		r.f.retransmit(b, uint16(m.MessageID), r.from)
	}
	r.acked = true
}

// direct answers what is not remembered.
func (r *incoming) direct(code codes.Code, why string) {
	b, err := wire.Encode(r.message(reply{code: code, body: []byte(why), maxAge: retryLater}))
	if err == nil {
		r.f.send(b, r.from)
	}
}

// bounded cuts an answer into blocks where it is too long for a datagram, and sends none that is much larger than the
// request to an address that has not proved itself.
func (r *incoming) bounded(a reply) reply {
	b, asked, err := wire.Block(r.m, message.Block2)
	if err != nil || !asked {
		b = blocks.Block{SZX: blocks.MaxSZX}
	}
	if len(a.body) > b.Size() || asked && len(a.body) > 0 {
		k := blocks.Key{Endpoint: r.key.Endpoint, Resource: r.what()}
		if b.Num == 0 && len(a.body) > b.Size() {
			r.f.kept.Put(r.f.now(), k, a.body)
		}
		part, out, ok := b.Slice(a.body)
		if !ok {
			return text(codes.BadOption, "no such block")
		}
		h := fnv.New64a()
		_, _ = h.Write(a.body)
		a.options = a.options.Add(message.Option{ID: message.ETag, Value: h.Sum(nil)})
		a.options = wire.AddUint(a.options, message.Block2, out.Value())
		a.options = wire.AddUint(a.options, message.Size2, uint32(len(a.body)))
		a.body = part
	}
	if len(a.body) > amplify*r.size && !r.f.provenAt(r.key.Endpoint) {
		r.f.o.Count.Refused.Inc("amplification")
		return reply{code: codes.Unauthorized, options: r.f.challenge(r), harmless: true}
	}
	return a
}

// message puts an answer into a message: in the acknowledgement where there is still one to send.
func (r *incoming) message(a reply) message.Message {
	m := message.Message{Token: r.m.Token, Code: a.code, Payload: a.body, Options: a.options, Type: wire.Non, MessageID: int32(r.key.ID)}
	if a.maxAge > 0 {
		m.Options = wire.AddUint(m.Options, message.MaxAge, a.maxAge)
	}
	if a.block1 != nil {
		m.Options = wire.AddUint(m.Options, message.Block1, a.block1.Value())
	}
	switch {
	case r.confirmable && !r.acked:
		m.Type = wire.Ack
	case r.confirmable:
		m.Type, m.MessageID = wire.Con, int32(r.f.mid())
	default:
		m.MessageID = int32(r.f.mid())
	}
	return m
}

// waitingMost bounds the separate answers that are sent again until they are acknowledged; beyond it each is sent once, and a
// device that missed it asks again and gets the stored one.
const waitingMost = 1024

// retransmit sends a separate answer again until it is acknowledged. The caller holds the lock.
func (f *Server) retransmit(b []byte, id uint16, to net.Addr) {
	key := dedup.Key{Endpoint: to.String(), ID: id}
	if len(f.waiting) >= waitingMost || f.waiting[key] != nil {
		return
	}
	done := make(chan struct{})
	f.waiting[key] = done
	go func() {
		wait := time.Duration(float64(ackTimeout) * (1 + rand.Float64()*(ackRandom-1)))
		for range maxRetransmit {
			select {
			case <-done:
				return
			case <-time.After(wait):
			}
			f.mu.Lock()
			f.send(b, to)
			f.mu.Unlock()
			f.o.Count.Retransmits.Inc()
			wait *= 2
		}
		f.mu.Lock()
		delete(f.waiting, key)
		f.mu.Unlock()
	}()
}
