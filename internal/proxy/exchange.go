// Package proxy holds a request's way through the node. It passes six stages, each in a file of its own:
// take in, admit, route, send, relay, book.
package proxy

import (
	"log/slog"
	"runtime/debug"
	"sync"
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

// Router decides what becomes of a request.
type Router interface {
	Submit(engine.Request) engine.Ticket
}

// Sender writes one copy of a request to a server.
type Sender func(server balancer.ServerID, c engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt

// Client is the connection that a request came on.
type Client interface {
	// LastRead is when its latest bytes came.
	LastRead() time.Time
	// Watch tells when the client leaves, until stop is called. Nothing is taken from the connection.
	WatchDisconnect() (left <-chan struct{}, stop func())
	// Left tells whether the client has gone already.
	Disconnected() bool
	// Ends gives the reason why the connection ends.
	SetCloseReason(reason string)
}

// Options are what a desk works with.
type Options struct {
	Router        Router
	Send          Sender
	Clock         clock.Clock
	Bodies        *body.Store
	Classes       []balancer.Class
	DeadlineSlack balancer.Millis // how late after its deadline an answer still counts
	Log           *slog.Logger
	Count         *counters.Counters
}

// Desk takes requests through their stages.
type Handler struct {
	o       Options
	classes map[string]balancer.Class

	mu     sync.Mutex
	open   map[string]struct{} // the ids of open requests, at most one for each client's connection
	beside map[string]struct{} // those open at the node's other process, during an upgrade
	tell   func(id string, open bool)

	stop     atomic.Pointer[drain.Schedule] // nil: no planned stop has begun
	stopping chan struct{}                  // closed when one begins
}

// NewDesk makes a desk.
func NewHandler(o Options) *Handler {
	d := &Handler{o: o, classes: map[string]balancer.Class{}, open: map[string]struct{}{}, stopping: make(chan struct{})}
	for _, c := range o.Classes {
		d.classes[c.Name] = c
	}
	return d
}

// TellIDs has the ids of requests told as they open and close, those open now first; nil ends it. Tell does not wait.
// The ids that were heard of from the other process are forgotten.
func (d *Handler) PublishRequestIDs(tell func(id string, open bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tell, d.beside = tell, map[string]struct{}{}
	if tell != nil {
		for id := range d.open {
			tell(id, true)
		}
	}
}

// besideMost bounds the ids kept of the other process; it has one open request to a connection at most.
const besideMost = 4096

// HearID notes an id that the other process has opened or closed.
func (d *Handler) TrackSiblingRequestID(id string, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !open {
		delete(d.beside, id)
	} else if len(d.beside) < besideMost && len(id) <= maxID {
		d.beside[id] = struct{}{}
	} else {
		d.o.Count.Handover.Dropped.Inc()
	}
}

// Reasons with which an exchange ends its client's connection.
const (
	ReasonClientLeft  = "client_left"  // closed while its request was in hand
	ReasonPanic       = "panic"        // handling its request went wrong
	ReasonClientAsked = "client_asked" // the request said that the connection was to close
	ReasonBadRequest  = "bad_request"  // what came is not in the protocol's form, or could not be read
)

// request is one exchange on its way through the stages.
type request struct {
	desk    *Handler
	client  Client
	taken   taken
	class   balancer.Class
	wire    outgoing
	answer  chan engine.Response
	ticket  engine.Ticket
	routed  bool
	claimed bool            // its id is on the desk's list
	wait    balancer.Millis // that the client allows
	until   balancer.Millis // when it gives the request up

	mu      sync.Mutex
	dropped bool // nobody waits for the answer
}

// Serve takes one request through all stages. A panic in it ends this request and its connection only.
func (d *Handler) Serve(ctx *fasthttp.RequestCtx, client Client) {
	r := &request{desk: d, client: client, answer: make(chan engine.Response, 1)}
	d.o.Count.Requests.Taken.Inc()
	d.o.Count.Requests.Open.Inc()
	passing := false
	defer func() {
		if !passing { // else the answer's end is the request's
			r.release()
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			d.o.Log.Error("panic in a request", "code", ReasonPanic, "panic", p, "stack", string(debug.Stack()))
			r.drop()
			client.SetCloseReason(ReasonPanic)
			ctx.SetConnectionClose()
			r.book(ctx, ending{status: fasthttp.StatusBadGateway})
		}
	}()
	r.taken = takeIn(ctx, client, d.o.Clock)
	if bad := r.admit(); bad != nil {
		r.book(ctx, bad.ending())
		if bad.status < fasthttp.StatusInternalServerError {
			// The client is at fault: what else it has sent goes unread, and a flood ends with its first request.
			client.SetCloseReason(ReasonBadRequest)
			ctx.SetConnectionClose()
		}
		return
	}
	// A request may have lain in the kernel or behind others, and its client has given it up meanwhile.
	if e := r.gone(ctx, client); e != nil {
		r.book(ctx, *e)
		return
	}
	r.route()
	if e := r.upload(ctx, client); e != nil {
		r.book(ctx, *e)
		return
	}
	e := r.relay(ctx, client)
	passing = e.passing != nil
	r.book(ctx, e)
}

// abandon withdraws a request that no answer can be given to any more.
func (r *request) abandon() {
	if r.routed {
		r.ticket.Cancel()
	}
}
