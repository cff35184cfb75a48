// Package proxy handles HTTP requests from their arrival to their final response. A request passes these stages, each in a
// file of that name: receive, admit, upload, forward, respond, stream and record. The method route in request.go submits it to
// the balancer.
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
	ReasonClientDisconnected = "client_left"  // the client disconnected while its request was in flight
	ReasonPanic              = "panic"        // the handler panicked on the request
	ReasonCloseRequested     = "client_asked" // the request had the field "Connection: close"
	ReasonBadRequest         = "bad_request"  // the request is malformed or could not be read
)

// Router routes requests to servers.
type Router interface {
	Submit(engine.Request) engine.Ticket
}

// Sender starts an attempt: it writes a request to a server without blocking. done is called once with the result.
type Sender func(server balancer.ServerID, request engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt

// Client is the connection on which a request was received.
type Client interface {
	// LastRead returns when the latest bytes were received.
	LastRead() time.Time
	// WatchDisconnect returns a channel that is closed when the client disconnects. The watch ends when stop is called. It
	// consumes no bytes of the connection.
	WatchDisconnect() (disconnected <-chan struct{}, stop func())
	// Disconnected reports whether the client has disconnected.
	Disconnected() bool
	// MayHaveDisconnected reports whether the client has disconnected, or may have done so without it being seen yet.
	MayHaveDisconnected() bool
	// SetCloseReason sets the reason for closing the connection. Only the first call has an effect.
	SetCloseReason(reason string)
}

// Options configure a Handler.
type Options struct {
	Router        Router
	Send          Sender
	Clock         clock.Clock
	Bodies        *body.Store
	Classes       []balancer.Class
	DeadlineSlack balancer.Millis // how long after the client's deadline a response still counts
	Log           *slog.Logger
	Counters      *counters.Counters
}

// Handler handles requests from their arrival to their final response.
type Handler struct {
	options Options
	classes map[string]balancer.Class // by name
	ids     *requestIDs

	largeResponses largeResponses
	schedule       atomic.Pointer[drain.Schedule] // nil: no graceful shutdown has begun
	draining       chan struct{}                  // closed when one begins
}

// NewHandler returns a Handler for the classes of the options.
func NewHandler(o Options) *Handler {
	h := &Handler{
		options:  o,
		classes:  map[string]balancer.Class{},
		ids:      newRequestIDs(),
		draining: make(chan struct{}),
	}
	h.largeResponses = newLargeResponses(o.Classes)
	for _, c := range o.Classes {
		h.classes[c.Name] = c
	}
	return h
}

// Serve handles one request from its arrival to its final response. A panic ends only this request and its connection.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx, client Client) {
	r := newRequest(h, client)
	h.options.Counters.Requests.Taken.Inc()
	h.options.Counters.Requests.Open.Inc()
	streaming := false
	defer func() {
		if !streaming { // a stream releases the request id when it is closed
			r.releaseID()
		}
	}()
	defer r.recoverPanic(ctx)

	r.received = receive(ctx, client, h.options.Clock)
	if rejected := r.admit(); rejected != nil {
		r.reject(ctx, rejected)
		return
	}
	r.received.body = nil // copied to outgoing
	ctx.Request.ResetBody()
	r.ran = true // if processing panics
	o := r.process(ctx)
	r.ran = r.mustNotRunAgain(o)
	streaming = o.stream != nil
	r.finish(ctx, o)
}

// process handles an admitted request until its outcome is known.
func (r *request) process(ctx *fasthttp.RequestCtx) outcome {
	if o := r.awaitVisibleClient(ctx); o != nil {
		return *o
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
		// The client sent a bad request. Its connection is closed without reading further requests, so that a client that
		// sends many bad requests is stopped at the first one.
		r.client.SetCloseReason(ReasonBadRequest)
		ctx.SetConnectionClose()
	}
}

// recoverPanic is deferred by Serve. If the handling of the request panicked, it answers with 502 and closes the connection.
func (r *request) recoverPanic(ctx *fasthttp.RequestCtx) {
	p := recover()
	if p == nil {
		return
	}
	r.handler.options.Log.Error("panic while handling a request", "code", ReasonPanic, "panic", p, "stack", string(debug.Stack()))
	r.cancel()
	r.client.SetCloseReason(ReasonPanic)
	ctx.SetConnectionClose()
	r.finish(ctx, outcome{status: fasthttp.StatusBadGateway})
}
