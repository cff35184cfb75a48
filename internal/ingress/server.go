// Package ingress holds the clients' side: the listener, the HTTP server on each connection, and the drain.
package ingress

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// writeTimeout bounds the writing of one piece of an answer: a client that takes nothing for so long does not read.
	writeTimeout = 3 * time.Second

	// idleTimeout is how long a client's connection may stand between requests: by the operators' page it may go
	// after 2 s. Clients that ask once and stay would else hold a descriptor and buffers each for good.
	idleTimeout = 3 * time.Second

	// maxHead bounds a request's line and fields; it is also each connection's read buffer.
	maxHead = 8 << 10

	healthPath   = "/_health"
	countersPath = "/_counters" // no class can have it: admission asks for a class of the settings
)

// Listener is where clients' connections come from: a *net.TCPListener, or in tests one that fails.
type Listener interface {
	net.Listener
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// Options are what a server works with.
type Options struct {
	Handler             Handler
	Bodies              *body.Store
	MaxConns            int // connections; SetMost changes it
	ReservedDescriptors int // descriptors of the process that they must leave, where the system gives twice as many
	Log                 *slog.Logger
	Count               *counters.Counters
	// Broken begins a planned stop without a signal, where the listener has broken.
	OnListenerBroken func(l Listener, err error)
	// InFlight accounts for the requests that were taken.
	InFlight *inflight.Tracker
}

// Desk serves requests.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Server takes clients' connections in.
type Server struct {
	o    Options
	http fasthttp.Server

	made time.Time
	stop atomic.Pointer[drain.Schedule] // nil: no planned stop has begun

	askedHeld time.Time // when the kernel was last asked for connections that it holds back; Serve alone uses it
	anyHeld   bool      // what it said

	mu     sync.Mutex
	conns  map[*conn]struct{}
	byHand *handDrain // nil: clients are welcome

	most      atomic.Int64
	succeeded atomic.Bool // another process takes the connections that come

	saidRoom       atomic.Int64 // when the log last told that large bodies are refused, in nanoseconds since made
	saidShort      atomic.Int64 // the same of descriptors
	saidUnanswered atomic.Int64 // the same of requests that ended without a whole answer

	fits atomic.Int64 // connections that leave the descriptors that are set aside, as far as it has shown

	evicting atomic.Int64 // connections told to make way that have not gone yet
	open     sync.WaitGroup
}

// New makes a server.
func New(o Options) *Server {
	if o.InFlight == nil {
		o.InFlight = &inflight.Tracker{}
	}
	s := &Server{o: o, conns: map[*conn]struct{}{}, made: time.Now()}
	s.SetMaxConns(o.MaxConns)
	s.fits.Store(math.MaxInt64)
	s.http = fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.unreadable, HeaderReceived: s.headCame,
		ReadTimeout: headTime, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		StreamRequestBody: true, MaxRequestBodySize: body.MaxInMemory, ReadBufferSize: maxHead, DisablePreParseMultipartForm: true, NoDefaultServerHeader: true,
		NoDefaultDate: true, NoDefaultContentType: true, Logger: quiet{},
	}
	return s
}

// SetMost sets how many connections there may be. Beyond it those that stand idle make way; none is cut off.
func (s *Server) SetMaxConns(n int) { s.most.Store(int64(n)) }

// Succeed says that another process takes connections in at the same queue, or no longer does. With a successor a drain
// leaves the queue to it at once.
func (s *Server) SetSuccessor(on bool) { s.succeeded.Store(on) }

// tooLarge marks a request that announced more than there may be. A client that sets it itself is told the same.
const tooLarge = "Tackhub-Too-Large"

// headCame looks at a head before anything of the body is waited for: a length that will not be read is told at once.
func (s *Server) headCame(h *fasthttp.RequestHeader) (none fasthttp.RequestConfig) {
	if s.o.Bodies != nil && h.ContentLength() > s.o.Bodies.MaxRequestSize() {
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
		h.Set(tooLarge, "1")
	}
	return none
}

// quiet drops fasthttp's own log: each connection's end has its line here.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// serve speaks HTTP on one connection until it ends, and leaves its log line.
func (s *Server) serve(c *conn) {
	defer s.open.Done()
	err := s.speak(c)
	c.settle(err)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if c.closesFor(endEvicted) {
		s.evicting.Add(-1)
	}
	s.o.Count.Clients.Open.Add(-1)
	c.SetCloseReason(endOther)
	s.o.Count.ClientEnds.Inc(c.reason)
	args := []any{"code", c.reason, "client", c.RemoteAddr().String(), "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	s.o.Log.Info("client connection ended", args...)
}

// speak serves the connection and closes it. A panic over what a client sends ends that connection only.
func (s *Server) speak(c *conn) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.o.Log.Error("panic on a client's connection", "code", proxy.ReasonPanic, "panic", p,
				"stack", string(debug.Stack()))
			c.SetCloseReason(proxy.ReasonPanic)
			err = c.Close()
		}
	}()
	return s.http.ServeConn(c)
}

// handle serves one request that was read whole.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.mu.Lock()
	c.requests++
	c.mu.Unlock()
	defer c.dropBody()
	bad := badFraming(&ctx.Request.Header)
	switch uri := string(ctx.Request.Header.RequestURI()); {
	case bad != "":
		s.refuse(ctx, c, fasthttp.StatusBadRequest, bad)
	case len(ctx.Request.Header.Peek(tooLarge)) > 0:
		s.refuse(ctx, c, fasthttp.StatusRequestEntityTooLarge, "body_too_large")
	case uri == healthPath:
		s.health(ctx)
	case uri == countersPath:
		ctx.SetContentType("application/json")
		ctx.SetBody(s.o.Count.JSON())
	default:
		if status, code := s.receive(ctx, c); code != "" {
			if status == fasthttp.StatusServiceUnavailable { // it ends here, and is booked nowhere else
				s.o.Count.Operations.For(string(ctx.Request.Header.Peek("X-Class"))).Throttled.Inc()
			}
			s.refuse(ctx, c, status, code)
			break
		}
		c.begin(string(ctx.Request.Header.Peek("X-Request-Id")), string(ctx.Request.Header.Peek("X-Class")))
		s.o.Handler.Serve(ctx, c)
		c.answered(ctx.Response.StatusCode())
	}
	// At this deadline fasthttp flushes each answer; else one would wait for the body of the next pipelined request.
	_ = ctx.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.mu.Lock()
	c.handled, c.busy = true, false
	c.mu.Unlock()
	if ctx.Request.Header.ConnectionClose() {
		c.SetCloseReason(proxy.ReasonClientAsked)
	} else if reason := c.closeReason(); reason != "" {
		c.SetCloseReason(reason)
		ctx.SetConnectionClose()
	}
}

// health says whether clients should come. Listening and deciding begin together, so a node that can be asked
// can serve.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	// With a successor the node goes on, whichever of its processes is asked.
	if s.draining() && !s.succeeded.Load() || s.AdminDrained() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// unreadable answers what cannot be read as a request. There is nothing to route, and the connection ends.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "unreadable"
	c, _ := ctx.Conn().(*conn)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "head_too_large"
	case isTimeout(err):
		status, code = slowOr(c)
	}
	s.refuse(ctx, c, status, code)
}

// refuse answers what is no request, and ends its connection: what follows on it can't be told from what came.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *conn, status int, code string) {
	s.o.Count.Rejections.Inc(code)
	if c != nil {
		c.SetCloseReason(endBad)
	}
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}
