// Package proxy handles one HTTP request from its arrival to its final response. A request passes these stages, each in a
// file of that name: receive, admit, upload, forward, respond, stream and record. Its hand-over to the balancer is route, in
// request.go.
package proxy

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/engine"
)

// Reasons for which the handler closes a client's connection.
const (
	ReasonClientLeft  = "client_left"  // the client disconnected while its request was in flight
	ReasonPanic       = "panic"        // the handler panicked on the request
	ReasonClientAsked = "client_asked" // the request carried "Connection: close"
	ReasonBadRequest  = "bad_request"  // the request is malformed or could not be read
)

// Router decides what becomes of a request.
type Router interface {
	Submit(engine.Request) engine.Ticket
}

// Sender starts one attempt: it writes a copy of a request to a server and does not wait. Done is called once with the
// result.
type Sender func(server balancer.ServerID, c engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt

// Client is the connection on which a request came.
type Client interface {
	// LastRead is when the latest bytes arrived.
	LastRead() time.Time
	// WatchDisconnect closes left when the client disconnects, until stop is called. It consumes no bytes.
	WatchDisconnect() (left <-chan struct{}, stop func())
	// Disconnected reports whether the client has disconnected already.
	Disconnected() bool
	// SetCloseReason sets why the connection closes. Only the first reason counts.
	SetCloseReason(reason string)
}

// Options configure a Handler.
type Options struct {
	Router        Router
	Send          Sender
	Clock         clock.Clock
	Bodies        *body.Store
	Classes       []balancer.Class
	DeadlineSlack balancer.Millis // how long after its deadline a response still counts
	Log           *slog.Logger
	Counters      *counters.Counters
}

// Handler takes requests through all stages.
type Handler struct {
	options Options
	classes map[string]balancer.Class // by name
	ids     *requestIDs

	schedule atomic.Pointer[drain.Schedule] // nil: no graceful shutdown has begun
	draining chan struct{}                  // closed when one begins
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	h := &Handler{
		options:  o,
		classes:  map[string]balancer.Class{},
		ids:      newRequestIDs(),
		draining: make(chan struct{}),
	}
	for _, c := range o.Classes {
		h.classes[c.Name] = c
	}
	return h
}

// Serve takes one request through all stages. A panic ends this request and its connection only.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx, client Client) {
	r := newRequest(h, client)
	h.options.Counters.Requests.Taken.Inc()
	h.options.Counters.Requests.Open.Inc()
	streaming := false
	defer func() {
		if !streaming { // a stream releases the id when it is closed
			r.releaseID()
		}
	}()
	defer r.recoverPanic(ctx)

	r.received = receive(ctx, client, h.options.Clock)
	if rejected := r.admit(); rejected != nil {
		r.reject(ctx, rejected)
		return
	}
	o := r.process(ctx)
	streaming = o.stream != nil
	r.finish(ctx, o)
}

// process handles an admitted request until its outcome is known.
func (r *request) process(ctx *fasthttp.RequestCtx) outcome {
	// The request may have waited in the kernel or in a queue while its client gave it up.
	if r.client.Disconnected() {
		return r.clientDisconnected(ctx)
	}
	r.route()
	if o := r.upload(ctx); o != nil {
		return *o
	}
	return r.awaitResponse(ctx)
}

// reject answers a request that was not admitted.
func (r *request) reject(ctx *fasthttp.RequestCtx, rejected *Rejection) {
	r.finish(ctx, rejected.outcome())
	if rejected.Status < fasthttp.StatusInternalServerError {
		// The client is at fault: what else it has sent goes unread, so a flood ends with its first request.
		r.client.SetCloseReason(ReasonBadRequest)
		ctx.SetConnectionClose()
	}
}

// recoverPanic is deferred by Serve. It answers a request whose handling panicked, and closes its connection.
func (r *request) recoverPanic(ctx *fasthttp.RequestCtx) {
	p := recover()
	if p == nil {
		return
	}
	r.handler.options.Log.Error("panic in a request", "code", ReasonPanic, "panic", p, "stack", string(debug.Stack()))
	r.cancel()
	r.client.SetCloseReason(ReasonPanic)
	ctx.SetConnectionClose()
	r.finish(ctx, outcome{status: fasthttp.StatusBadGateway})
}
