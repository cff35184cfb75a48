package proxy

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// The header fields that the decisions need.
const (
	headID       = "X-Request-Id"
	headClass    = "X-Class"
	headTenant   = "X-Tenant"
	headDeadline = "X-Deadline-Ms"
	headKey      = "Idempotency-Key"
	headRetry    = "X-Retry"
	headHint     = "X-Cost-Hint"
)

// taken is a request as it came, with the fields that the decisions need taken out as text.
type taken struct {
	at       balancer.Millis // its last byte's time, as early as the node can tell
	method   string
	uri      []byte // valid while the request is being served
	id       string
	class    string
	tenant   string
	deadline string
	key      string
	hasKey   bool
	retry    bool
	hint     string
	coming   bool // of large there is still something to come
	header   *fasthttp.RequestHeader
	body     []byte
	large    engine.RequestBody // in place of body where it is kept in a file
}

// takeIn notes when the request came and what it says. It judges nothing.
func takeIn(ctx *fasthttp.RequestCtx, client Client, c clock.Clock) taken {
	h := &ctx.Request.Header
	key := h.Peek(headKey)
	kept := large(client)
	return taken{
		large:    kept.body(),
		coming:   kept != nil && !kept.Complete(),
		at:       c.At(client.LastRead()),
		method:   string(h.Method()),
		uri:      originForm(h.RequestURI()),
		id:       string(h.Peek(headID)),
		class:    string(h.Peek(headClass)),
		tenant:   string(h.Peek(headTenant)),
		deadline: string(h.Peek(headDeadline)),
		key:      string(key),
		hasKey:   len(key) > 0,
		retry:    string(h.Peek(headRetry)) == "1",
		hint:     string(h.Peek(headHint)),
		header:   h,
		body:     ctx.Request.Body(),
	}
}

// originForm is a target as servers get it: a client may name the scheme and the host as well (RFC 9112, 3.2.2).
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
