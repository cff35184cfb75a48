package ingress

import (
	"errors"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/proxy"
)

const (
	healthPath   = "/_health"
	countersPath = "/_counters" // no class can have it: a class's path is its name from the settings

	// headerTooLarge marks a request that announced a body larger than any that is accepted. A client that sets it itself
	// gets the same response.
	headerTooLarge = "Tackhub-Too-Large"

	codeBodyTooLarge = "body_too_large"
	codeNoRoom       = "no_room" // no capacity for a large body
)

// serve serves a connection until it ends, and logs that.
func (s *Server) serve(c *conn) {
	defer s.serving.Done()
	err := s.serveHTTP(c)
	c.releaseAll(err)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if c.closesFor(closeEvicted) {
		s.evicting.Add(-1)
	}
	s.options.Counters.Clients.Open.Add(-1)
	c.SetCloseReason(closeOther)
	s.options.Counters.ClientEnds.Inc(c.closeReason)
	args := []any{"code", c.closeReason, "client", c.RemoteAddr().String(), "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	s.options.Log.Info("client connection ended", args...)
}

// serveHTTP serves a connection and closes it. A panic on what a client sends ends that connection only.
func (s *Server) serveHTTP(c *conn) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.options.Log.Error("panic on a client's connection", "code", proxy.ReasonPanic, "panic", p,
				"stack", string(debug.Stack()))
			c.SetCloseReason(proxy.ReasonPanic)
			err = c.Close()
		}
	}()
	return s.http.ServeConn(c)
}

// headReceived looks at a request's head before its body is waited for. A body that is too large is not read: the request is
// rejected at once.
func (s *Server) headReceived(h *fasthttp.RequestHeader) (none fasthttp.RequestConfig) {
	if s.options.Bodies != nil && h.ContentLength() > s.options.Bodies.MaxRequestSize() {
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
		h.Set(headerTooLarge, "1")
	}
	return none
}

// handle handles one request whose head was read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.countRequest()
	defer c.dropBody()
	s.dispatch(ctx, c)
	// With this deadline fasthttp flushes each response. Otherwise a response would wait for the body of the next pipelined
	// request.
	_ = ctx.SetWriteDeadline(time.Now().Add(writeTimeout)) // conn's always succeeds
	c.markHandled()
	if ctx.Request.Header.ConnectionClose() {
		c.SetCloseReason(proxy.ReasonClientAsked)
	} else if reason := c.closeAfterResponse(); reason != "" {
		c.SetCloseReason(reason)
		ctx.SetConnectionClose()
	}
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx, c *conn) {
	header := &ctx.Request.Header
	if code := badFraming(header); code != "" {
		s.reject(ctx, c, proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: code})
		return
	}
	if len(header.Peek(headerTooLarge)) > 0 {
		s.reject(ctx, c, proxy.Rejection{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge})
		return
	}
	switch string(header.RequestURI()) {
	case healthPath:
		s.health(ctx)
	case countersPath:
		ctx.SetContentType("application/json")
		ctx.SetBody(s.options.Counters.JSON())
	default:
		s.serveRequest(ctx, c)
	}
}

// serveRequest reads a request's body and passes the request to the handler.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, c *conn) {
	rejected := s.readBody(ctx, c)
	id := string(ctx.Request.Header.Peek(proxy.HeaderID))
	class := string(ctx.Request.Header.Peek(proxy.HeaderClass))
	if rejected != nil {
		if rejected.Status == fasthttp.StatusServiceUnavailable { // the handler does not see it, so it is counted here
			s.options.Counters.Operations.For(class).Throttled.Inc()
		}
		s.reject(ctx, c, *rejected)
		return
	}
	c.track(id, class)
	s.options.Handler.Serve(ctx, c)
	c.setOutcome(ctx.Response.StatusCode())
}

// health responds 200 if clients should come, else 503. The node listens only once it can decide on requests, so one that can
// be asked is ready.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	// With a successor the node goes on, whichever of its processes is asked.
	stopping := s.draining() && !s.hasSuccessor.Load()
	if stopping || s.AdminDraining() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleMalformed responds to what cannot be read as a request, and the connection ends.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	c, _ := ctx.Conn().(*conn)
	rejected := proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: codeUnreadable}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		rejected = proxy.Rejection{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: "head_too_large"}
	case isTimeout(err):
		rejected = slowRejection(c)
	}
	s.reject(ctx, c, rejected)
}

// reject responds to a request that the handler does not get, and closes its connection: where the next request begins is
// unknown.
func (s *Server) reject(ctx *fasthttp.RequestCtx, c *conn, rejected proxy.Rejection) {
	s.options.Counters.Rejections.Inc(rejected.Code)
	if c != nil {
		c.SetCloseReason(closeBadRequest)
	}
	ctx.SetStatusCode(rejected.Status)
	ctx.SetConnectionClose()
}
